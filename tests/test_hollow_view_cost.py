"""What made a front's view dear with hundreds of replicas, found by hollow fronts."""

import copy
import unittest
from random import Random

import attrs

from rooklug.config.document import Configuration, Region
from rooklug.config.document_reader import read_configuration
from rooklug.front.routing_view import ViewSources
from rooklug.front.view_building import build_routing_view
from rooklug.wire.generated.control.ttypes import ListedReplica, LoadedReplica, PlanBody
from rooklug_lab.hollow import bodies
from rooklug_lab.hollow.site import build_site
from rooklug_lab.hollow.size import HollowSize

ZONES = tuple(f"zone-{number}" for number in range(15))
REPLICAS = 60


class CountingConfiguration(Configuration):
    """Counts the searches for a zone's region."""

    searches = 0

    def region_of_zone(self, zone):
        type(self).searches += 1
        return super().region_of_zone(zone)


class FrozenMatrix(list):
    """A plan's matrix that counts how often it is gone through."""

    readings = 0

    def __iter__(self):
        self.readings += 1
        return super().__iter__()


class ViewReuseTest(unittest.TestCase):
    """A view built upon the previous one is the view built anew, for any change of topics."""

    def sources(self):
        site = build_site(HollowSize(40, 60), 20)
        plan = bodies.plan_body(site)
        plan.matrix = FrozenMatrix(plan.matrix)
        return ViewSources(
            read_configuration(site.document).ok,
            1,
            nodes=tuple(bodies.members_body(site).nodes),
            replicas=tuple(bodies.replicas_body(site).replicas),
            plan=plan,
        )

    def changes(self, sources, random):
        half = random.random() < 0.5
        document = sources.configuration
        weights = attrs.evolve(document.regions["isle"], zones=("isle-a", f"z{random.random()}"))
        return {
            "configuration": attrs.evolve(document, regions={**document.regions, "isle": weights}),
            "drained_zones": frozenset(random.sample(["north-a", "isle-a", "lake-b"], 2)),
            "nodes": sources.nodes[1:] if half else (*sources.nodes, sources.nodes[0]),
            "replicas": sources.replicas[1:] if half else sources.replicas[::-1],
            "plan": copy.copy(sources.plan) if half else None,
        }

    def test_any_sequence_of_changes_gives_the_same_view_as_building_anew(self):
        random = Random(3)
        for _ in range(5):
            sources = self.sources()
            view = build_routing_view("f", "north-a", "", sources)
            for _ in range(12):
                name, value = random.choice(sorted(self.changes(sources, random).items()))
                sources = attrs.evolve(sources, **{name: value})
                view = build_routing_view("f", "north-a", "", sources, view)
                self.assertEqual(view, build_routing_view("f", "north-a", "", sources), name)
                if sources.plan is None:
                    sources = attrs.evolve(sources, plan=self.sources().plan)

    def test_a_node_that_comes_or_goes_costs_no_new_matrix(self):
        sources = self.sources()
        view = build_routing_view("f", "north-a", "", sources)
        before = sources.plan.matrix.readings
        after = attrs.evolve(sources, nodes=sources.nodes[5:])
        newer = build_routing_view("f", "north-a", "", after, view)
        self.assertEqual(sources.plan.matrix.readings, before)
        self.assertLess(len(newer.fronts_in()), len(view.fronts_in()))


class ViewCostTest(unittest.TestCase):
    def test_a_zone_is_searched_for_once_a_view_not_once_a_replica(self):
        configuration = CountingConfiguration({"region": Region(ZONES)}, {}, {})
        names = [f"replica-{number}" for number in range(REPLICAS)]
        listed = [
            ListedReplica(
                name, "127.0.0.1:1", "model", "", "", ZONES[index % 15], "gpu", 1.0, False
            )
            for index, name in enumerate(names)
        ]
        loaded = [
            LoadedReplica(name, "1", ["m", "n"], ["m", "n"], 8, False, True) for name in names
        ]
        plan = PlanBody(1, loaded, [], "")
        sources = ViewSources(configuration, 1, replicas=tuple(listed), plan=plan)
        CountingConfiguration.searches = 0
        view = build_routing_view("f", ZONES[0], "", sources)
        self.assertEqual({replica.region for replica in view.serving("m")}, {"region"})
        self.assertEqual(len(view.serving("n")), REPLICAS)
        self.assertLessEqual(CountingConfiguration.searches, len(ZONES))
