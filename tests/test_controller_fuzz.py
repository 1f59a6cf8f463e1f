"""Random sequences of faults against the controller, checked by their outside effects only."""

import unittest
from random import Random
from unittest.mock import patch

from rooklug.model import topics
from tests.controller_placing import failure_observations
from tests.controller_stand_ins import ALL_ROLES
from tests.controller_world import World, document, fleet

SEEDS = (*range(1, 11), 24, 168)
STEPS = 40
LEASE_GUARD_S = 60.0
SETTLING_S = 1.0


class History:
    """One seeded run. ``problems`` describes each violation that the checks have found.

    ``excluded_since`` holds the replicas that may get no orders now, because they are leaving or
    their zone is drained; ``exclusions`` holds the past periods (name, since, until).
    """

    def __init__(self, seed):
        self.random = Random(seed)
        self.replicas = fleet()
        self.world = World(self.replicas, document(), seed=seed)
        self.world.renew_leases()
        self.counter = 1
        self.version = 1
        self.sequence = 0
        self.excluded_since = {}
        self.exclusions = []
        self.lease_gaps = []
        self.problems = []

    def run(self):
        self.world.run(10.0)
        for _ in range(STEPS):
            self.random.choice(self.actions())()
            self.world.run(self.random.uniform(0.1, 4.0))
        self.end_faults()
        self.world.run(LEASE_GUARD_S)
        self.check()

    def actions(self):
        return (
            self.toggle_unresponsive,
            self.restart,
            self.leave_or_return,
            self.zone,
            self.demand,
            self.demand,
            self.configure,
            self.take_over,
            self.freeze,
            self.invalid_answer,
            self.lose_answers,
            self.report_false_failures,
        )

    def random_replica(self):
        return self.random.choice(self.replicas)

    def toggle_unresponsive(self):
        replica = self.random_replica()
        replica.unresponsive = not replica.unresponsive

    def restart(self):
        self.random_replica().restart()

    def leave_or_return(self):
        replica_id = self.random_replica().replica_id
        self.world.platform.leaving ^= {replica_id}
        self.world.platform.version += 1
        self.mark_excluded(replica_id, replica_id in self.world.platform.leaving)

    def zone(self):
        zones = ("vestland-a", "vestland-b", "austland-a")
        chosen = self.random.choice((*((zone,) for zone in zones), ()))
        self.world.drain_zones(*chosen)
        for replica in self.replicas:
            self.mark_excluded(f"zone of {replica.replica_id}", replica.zone in chosen)

    def mark_excluded(self, name, excluded):
        if excluded:
            self.excluded_since.setdefault(name, self.world.now)
        elif name in self.excluded_since:
            self.exclusions.append((name, self.excluded_since.pop(name), self.world.now))

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
        self.world.grant_role(role_key, self.counter, until=self.world.now + 2.0)

    def freeze(self):
        begun = max(self.world.link.until.values())
        self.world.freeze(20.0)
        self.world.run(21.0)
        self.lease_gaps.append((begun, self.world.now))
        self.world.renewing_leases = True

    def invalid_answer(self):
        replica = self.random_replica()
        replica.invalid_answer = self.random.choice((None, b"", b"{}", b"\xff\xfe", b"[" * 2000))

    def lose_answers(self):
        self.random_replica().lost_answers = 2

    def report_false_failures(self):
        self.sequence += 1
        seen = failure_observations([replica.replica_id for replica in self.replicas])
        self.world.report_demand("liar", 10.0, self.sequence, seen)

    def end_faults(self):
        for name in list(self.excluded_since):
            self.mark_excluded(name, False)
        for replica in self.replicas:
            replica.unresponsive = False
            replica.invalid_answer = None
        self.world.platform.leaving = set()
        self.world.platform.version += 1
        self.world.drain_zones()
        self.version += 1
        self.world.configure(document(), self.version)

    def check(self):
        self.check_orders()
        self.check_plans()
        served = {model for _, model in self.world.serving()}
        if served != {"small", "large"}:
            self.problems.append(f"after all faults have ended, only {served} are served")

    def check_orders(self):
        for at, call in self.world.http:
            if any(begun < at < end for begun, end in self.lease_gaps):
                self.problems.append(f"{call.path} sent at {at} without a lease")
        highest = {}
        for at, replica_id, path, _, _, token in self.world.orders():
            if token < highest.get(replica_id, (0, 0)):
                self.problems.append(f"{path} at {at} under the older token {token}")
            highest[replica_id] = token
            for name, since, until in self.exclusions:
                own = name in (replica_id, f"zone of {replica_id}")
                if own and since + SETTLING_S < at < until:
                    self.problems.append(f"{path} at {at} to {name}, excluded since {since}")

    def check_plans(self):
        plans = self.world.published(topics.PLAN)
        tokens = [publication.token for publication in plans]
        if tokens != sorted(tokens):
            self.problems.append("plans were published under decreasing tokens")
        regions = {replica.replica_id: replica.region for replica in self.replicas}
        for publication in plans:
            hosts = {
                (model, regions[replica.replica_id])
                for replica in publication.body.replicas
                for model in set(replica.loaded_models) & set(replica.intended_models)
            }
            for cell in publication.body.matrix:
                if (cell.model, cell.destination_region) not in hosts:
                    self.problems.append(
                        f"at {publication.at} a cell has no serving replica: {cell}"
                    )
                homes = cell.home_regions
                if homes and cell.destination_region not in homes:
                    self.problems.append(
                        f"at {publication.at} a cell leads outside its homes: {cell}"
                    )


class Fuzz(unittest.TestCase):
    """One test per seed, with the seed in its name."""


def _test_of(seed):
    def test(self):
        history = History(seed)
        history.run()
        self.assertEqual(history.problems[:5], [])

    return test


for _seed in SEEDS:
    setattr(Fuzz, f"test_seed_{_seed}", _test_of(_seed))


def any_seed_finds(words):
    """Return whether a run with any of the seeds has a problem that contains ``words``."""
    for seed in SEEDS:
        history = History(seed)
        history.run()
        if any(words in problem for problem in history.problems):
            return True
    return False


class OraclesCanFail(unittest.TestCase):
    def test_orders_to_leaving_replicas_and_drained_zones(self):
        def all_known(self):
            return [replica for replica in self.replicas.values() if replica.known]

        with patch("rooklug.controller.fleet_state.FleetState.usable", all_known):
            self.assertTrue(any_seed_finds("excluded"))

    def test_orders_without_a_lease(self):
        def ignore_lease_expiry(self, now):
            return self.link.grants.get(self.role_key)

        role = "rooklug.controller.role.RoleFollower._usable_grant"
        endless = "tests.controller_world.FakeLink.grant_until"
        with patch(role, ignore_lease_expiry), patch(endless, lambda *_: float("inf")):
            self.assertTrue(any_seed_finds("without a lease"))

    def test_cells_without_a_serving_replica(self):
        guards = "rooklug.placement.live_weights.LiveWeights._is_loaded"
        cells = "rooklug.placement.live_weights.servable_cells"

        def planned_cells(live, planned, hosts):
            return list(planned)

        with patch(guards, lambda *_: True), patch(cells, planned_cells):
            self.assertTrue(any_seed_finds("has no serving replica"))
