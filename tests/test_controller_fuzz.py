"""Random histories of faults against the controller, judged by what the outside saw."""

import unittest
from random import Random
from unittest.mock import patch

from rooklug.model import topics
from tests.controller_placing import seen_failing
from tests.controller_stand_ins import ALL_ROLES
from tests.controller_world import World, document, fleet

SEEDS = (*range(1, 11), 24, 168)
STEPS = 40
LEASE_GUARD_S = 60.0
SETTLING_S = 1.0


class History:
    """One seeded run. ``problems`` are sentences of the oracle."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.replicas = fleet()
        self.world = World(self.replicas, document(), seed=seed)
        self.world.renew_leases()
        self.counter = 1
        self.version = 1
        self.sequence = 0
        self.barred_since = {}
        self.bars = []
        self.lease_gaps = []
        self.problems = []

    def run(self):
        self.world.run(10.0)
        for _ in range(STEPS):
            self.random.choice(self.actions())()
            self.world.run(self.random.uniform(0.1, 4.0))
        self.heal()
        self.world.run(LEASE_GUARD_S)
        self.judge()

    def actions(self):
        return (
            self.darken,
            self.restart,
            self.leave_or_return,
            self.zone,
            self.demand,
            self.demand,
            self.configure,
            self.take_over,
            self.freeze,
            self.garbage,
            self.lose_answers,
            self.lie_about_replicas,
        )

    def one(self):
        return self.random.choice(self.replicas)

    def darken(self):
        replica = self.one()
        replica.dark = not replica.dark

    def restart(self):
        self.one().restart()

    def leave_or_return(self):
        replica_id = self.one().replica_id
        self.world.platform.leaving ^= {replica_id}
        self.world.platform.version += 1
        self.bar(replica_id, replica_id in self.world.platform.leaving)

    def zone(self):
        zones = ("vestland-a", "vestland-b", "austland-a")
        chosen = self.random.choice((*((zone,) for zone in zones), ()))
        self.world.empty_zones(*chosen)
        for replica in self.replicas:
            self.bar(f"zone of {replica.replica_id}", replica.zone in chosen)

    def bar(self, name, barred):
        if barred:
            self.barred_since.setdefault(name, self.world.now)
        elif name in self.barred_since:
            self.bars.append((name, self.barred_since.pop(name), self.world.now))

    def demand(self):
        self.sequence += 1
        tokens = self.random.choice((0.0, 200.0, 1500.0, 9000.0))
        route = self.random.choice(("banter", "dispute"))
        self.world.report_demand(f"f{self.random.randint(1, 3)}", tokens, self.sequence, (), route)

    def configure(self):
        self.version += 1
        bodies = (document(limits={"queue_length": self.version}), b"{", document(models={}))
        self.world.configure(self.random.choice(bodies), self.version)

    def take_over(self):
        self.counter += 1
        role_key = self.random.choice(ALL_ROLES)
        self.world.take_role(role_key, self.counter, until=self.world.now + 2.0)

    def freeze(self):
        begun = max(self.world.link.until.values())
        self.world.freeze(20.0)
        self.world.run(21.0)
        self.lease_gaps.append((begun, self.world.now))
        self.world.renewing = True

    def garbage(self):
        replica = self.one()
        replica.garbage = self.random.choice((None, b"", b"{}", b"\xff\xfe", b"[" * 2000))

    def lose_answers(self):
        self.one().lost_answers = 2

    def lie_about_replicas(self):
        self.sequence += 1
        seen = seen_failing([replica.replica_id for replica in self.replicas])
        self.world.report_demand("liar", 10.0, self.sequence, seen)

    def heal(self):
        for name in list(self.barred_since):
            self.bar(name, False)
        for replica in self.replicas:
            replica.dark = False
            replica.garbage = None
        self.world.platform.leaving = set()
        self.world.platform.version += 1
        self.world.empty_zones()
        self.version += 1
        self.world.configure(document(), self.version)

    def judge(self):
        self.judge_orders()
        self.judge_plans()
        served = {model for _, model in self.world.serving()}
        if served != {"small", "large"}:
            self.problems.append(f"after the quiet only {served} are served")

    def judge_orders(self):
        for at, call in self.world.http:
            if any(begun < at < end for begun, end in self.lease_gaps):
                self.problems.append(f"{call.path} sent at {at} without a lease")
        highest = {}
        for at, replica_id, path, _, _, token in self.world.orders():
            if token < highest.get(replica_id, (0, 0)):
                self.problems.append(f"{path} at {at} under the older token {token}")
            highest[replica_id] = token
            for name, since, until in self.bars:
                own = name in (replica_id, f"zone of {replica_id}")
                if own and since + SETTLING_S < at < until:
                    self.problems.append(f"{path} at {at} to {name}, barred since {since}")

    def judge_plans(self):
        plans = self.world.published(topics.PLAN)
        tokens = [publication.token for publication in plans]
        if tokens != sorted(tokens):
            self.problems.append("plans under a token that went back")
        regions = {replica.replica_id: replica.region for replica in self.replicas}
        for publication in plans:
            hosts = {
                (model, regions[replica.replica_id])
                for replica in publication.body.replicas
                for model in set(replica.loaded_models) & set(replica.intended_models)
            }
            for cell in publication.body.matrix:
                if (cell.model, cell.destination_region) not in hosts:
                    self.problems.append(f"at {publication.at} a cell leads to nobody: {cell}")
                homes = cell.home_regions
                if homes and cell.destination_region not in homes:
                    self.problems.append(f"at {publication.at} a cell leaves home: {cell}")


class Fuzz(unittest.TestCase):
    """One test a seed; the seed in its name repeats it."""


def _test_of(seed):
    def test(self):
        history = History(seed)
        history.run()
        self.assertEqual(history.problems[:5], [])

    return test


for _seed in SEEDS:
    setattr(Fuzz, f"test_seed_{_seed}", _test_of(_seed))


def found(words):
    """Tell whether one of a few seeds shows a problem with these words."""
    for seed in SEEDS:
        history = History(seed)
        history.run()
        if any(words in problem for problem in history.problems):
            return True
    return False


class OraclesCanFail(unittest.TestCase):
    def test_orders_to_leaving_replicas_and_emptied_zones(self):
        def all_known(self):
            return [replica for replica in self.replicas.values() if replica.known]

        with patch("rooklug.controller.fleet_state.FleetState.usable", all_known):
            self.assertTrue(found("barred"))

    def test_orders_without_a_lease(self):
        def ignoring_the_clock(self, now):
            return self.link.grants.get(self.role_key)

        role = "rooklug.controller.role.RoleFollower._usable_grant"
        endless = "tests.controller_world.FakeLink.grant_until"
        with patch(role, ignoring_the_clock), patch(endless, lambda *_: float("inf")):
            self.assertTrue(found("without a lease"))

    def test_cells_that_lead_to_nobody(self):
        guards = "rooklug.placement.live_weights.LiveWeights._is_loaded"
        cells = "rooklug.placement.live_weights.servable_cells"

        def planned_cells(live, planned, hosts):
            return list(planned)

        with patch(guards, lambda *_: True), patch(cells, planned_cells):
            self.assertTrue(found("leads to nobody"))
