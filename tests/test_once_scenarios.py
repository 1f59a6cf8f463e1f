"""Once-only requests with one fault at a time, injected at the most critical moment."""

import json
import unittest
from contextlib import AbstractContextManager, nullcontext

from rooklug.config.examples import read_example
from rooklug.front.once_only.claims import shard_of
from tests import once_mutations as mutations
from tests.once_support import ROUTE, Site

FIRST_START_S = 7.0
KEY = "key-under-test"


def idle_site(seed: int = 1) -> Site:
    """Return a site whose first start is complete and that has no traffic."""
    site = Site(seed)
    site.calling = False
    site.world.run_for(FIRST_START_S)
    return site


class ScenarioTest(unittest.TestCase):
    def check(self, site: Site, runs: int) -> None:
        self.assertEqual(site.violations(), [])
        self.assertEqual(len(site.executions), runs)

    def submit(self, site: Site, front: str, seconds: float = 6.0) -> str:
        submission = site.send(KEY, front)
        site.world.run_for(seconds)
        return submission.outcome

    def test_repeat_at_any_front_gets_the_same_result(self) -> None:
        site = idle_site()
        for front in sorted(site.fronts):
            self.assertEqual(self.submit(site, front, 0.5), "done")
        self.assertEqual(
            [submission.repeated for submission in site.submissions], [False] + [True] * 5
        )
        self.check(site, runs=1)

    def test_repeat_while_running_waits_for_the_result(self) -> None:
        site = idle_site()
        site.late_share = 1.0
        front, other = site.fronts_beside()[:2]
        first = site.send(KEY, front)
        site.world.run_for(3.0)
        second = site.send(KEY, other)
        site.world.run_for(8.0)
        self.assertIn(first.outcome, ("unknown", "lost"))
        self.assertEqual(second.outcome, "done")
        self.assertTrue(second.repeated)
        self.check(site, runs=1)

    def test_lost_back_end_answer_is_unknown_at_once(self) -> None:
        site = idle_site()
        site.lost_share = 0.5
        submission = site.send(KEY, site.fronts_beside()[0])
        site.world.run_for(6.0)
        self.assertEqual(submission.outcome, "unknown")
        self.assertLess(submission.ended - submission.started, 0.2)
        self.check(site, runs=1)

    def test_no_back_end_is_not_run_and_a_repeat_runs(self) -> None:
        site = idle_site()
        backends = [site.world.processes[f"backend-{zone}"] for zone in (1, 2, 3)]
        for backend in backends:
            site.world.kill(backend)
        front, other = site.fronts_beside()[:2]
        self.assertEqual(self.submit(site, front), "not_run")
        self.assertLess(site.submissions[0].ended - site.submissions[0].started, 1.0)
        for backend in backends:
            site.world.restart(backend)
        self.assertEqual(self.submit(site, other), "done")
        self.check(site, runs=1)

    def test_requesting_front_crashes_and_result_replica_answers(self) -> None:
        site = idle_site()
        front = site.fronts_beside(site.owner_of(KEY))[0]
        self.assertEqual(self.submit(site, front, 0.5), "done")
        site.world.kill(site.fronts[front])
        site.world.run_for(4.0)
        for other in site.fronts_beside(front):
            self.assertEqual(self.submit(site, other, 1.0), "done")
        self.check(site, runs=1)

    def test_requesting_front_crashes_during_the_run(self) -> None:
        site = idle_site()
        site.late_share = 1.0
        front, other = site.fronts_beside(site.owner_of(KEY))[:2]
        site.send(KEY, front)
        site.world.run_for(0.5)
        site.world.kill(site.fronts[front])
        site.world.restart(site.fronts[front])
        site.world.run_for(1.0)
        self.assertEqual(self.submit(site, other), "unknown")
        self.check(site, runs=1)

    def test_owner_crashes_and_its_successor_knows_the_claim(self) -> None:
        site = idle_site()
        owner = site.owner_of(KEY)
        front, other = site.fronts_beside(owner)[:2]
        self.assertEqual(self.submit(site, front, 0.5), "done")
        site.world.kill(site.fronts[owner])
        self.assertEqual(self.submit(site, other), "done")
        self.assertTrue(site.submissions[-1].repeated)
        self.check(site, runs=1)

    def test_new_keys_wait_for_a_new_owner(self) -> None:
        site = idle_site()
        owner = site.owner_of(KEY)
        site.world.kill(site.fronts[owner])
        self.assertEqual(self.submit(site, site.fronts_beside(owner)[0]), "done")
        self.check(site, runs=1)

    def test_everything_crashes_and_claims_survive_on_disk(self) -> None:
        site = idle_site()
        front, other = site.fronts_beside()[:2]
        self.assertEqual(self.submit(site, front, 0.5), "done")
        everything = [*site.fronts.values(), *site.stores.values()]
        for process in everything:
            site.world.kill(process)
        for process in everything:
            site.world.restart(process)
        site.world.run_for(4.0)
        self.assertEqual(self.submit(site, other), "unknown")
        site.send("another key", other)
        site.world.run_for(1.0)
        self.assertEqual(site.submissions[-1].outcome, "done")
        self.check(site, runs=2)

    def test_frozen_front_does_not_write_late(self) -> None:
        site = idle_site()
        front, other = site.fronts_beside(site.owner_of(KEY))[:2]
        site.send(KEY, front)
        site.world.run_for(0.002)
        site.fronts[front].freeze()
        site.world.run_for(7.0)
        site.fronts[front].thaw()
        site.world.run_for(1.0)
        self.check(site, runs=0)
        self.assertEqual(self.submit(site, other), "done")
        self.check(site, runs=1)

    def test_lost_disk_is_restored_and_counts_for_the_quorum(self) -> None:
        site = idle_site()
        front, other = site.fronts_beside(site.owner_of(KEY))[:2]
        self.assertEqual(self.submit(site, front, 0.5), "done")
        stores = list(site.stores.values())
        site.world.kill(stores[0])
        stores[0].disk.lose()
        site.world.restart(stores[0])
        site.world.run_for(25.0)
        site.world.machine_fails(stores[1])
        site.world.kill(site.fronts[site.owner_of(KEY)])
        site.world.run_for(4.0)
        self.assertEqual(self.submit(site, other), "done")
        self.check(site, runs=1)

    def test_all_disks_lost_and_claims_recovered_from_fronts(self) -> None:
        site = idle_site()
        front = site.fronts_beside()[0]
        self.assertEqual(self.submit(site, front, 0.5), "done")
        for store in site.stores.values():
            site.world.kill(store)
            store.disk.lose()
            site.world.restart(store)
        site.move_role(shard_of(ROUTE, KEY), site.fronts_beside(site.owner_of(KEY))[0])
        site.world.run_for(8.0)
        self.assertEqual(self.submit(site, site.fronts_beside()[1]), "done")
        self.assertTrue(site.submissions[-1].repeated)
        self.check(site, runs=1)

    def test_stalled_disk_of_one_store_delays_nothing(self) -> None:
        site = idle_site()
        site.stores["store-1"].disk.stalled_until = site.world.now + 20.0
        self.assertEqual(self.submit(site, site.fronts_beside()[0], 0.5), "done")
        self.check(site, runs=1)

    def test_without_stores_nothing_runs(self) -> None:
        site = idle_site()
        for store in site.stores.values():
            site.world.kill(store)
        submission = site.send(KEY, site.fronts_beside()[0])
        site.world.run_for(6.0)
        self.assertEqual(submission.outcome, "not_run")
        self.assertLess(submission.ended - submission.started, 4.1)
        self.check(site, runs=0)

    def test_long_outage_is_refused_at_once(self) -> None:
        site = idle_site()
        for store in site.stores.values():
            site.world.kill(store)
        front = site.fronts_beside()[0]
        keys = [f"key-{number}" for number in range(400)]
        of_one_shard = [key for key in keys if shard_of(ROUTE, key) == shard_of(ROUTE, KEY)]
        submissions = []
        for key in of_one_shard[:8]:
            submissions.append(site.send(key, front))
            site.world.run_for(1.0)
        site.world.run_for(3.0)
        # Callers may have timed out themselves ("lost") while the first ones still waited.
        self.assertLessEqual(
            {submission.outcome for submission in submissions}, {"not_run", "lost"}
        )
        for submission in submissions[-2:]:
            self.assertEqual(submission.outcome, "not_run")
            self.assertLess(submission.ended - submission.started, 0.2)
        for store in site.stores.values():
            site.world.restart(store)
        site.world.run_for(1.0)
        self.assertEqual(self.submit(site, front), "done")
        self.assertEqual(site.violations(), [])

    def test_bound_route_stays_in_home(self) -> None:
        document = json.loads(read_example("payroll"))
        document["routes"][ROUTE]["home_regions"] = ["cairo"]
        site = Site(1, json.dumps(document).encode())
        site.world.run_for(FIRST_START_S + 5.0)
        site.calling = False
        site.world.run_for(6.0)
        self.assertEqual(site.violations(), [])
        self.assertEqual({execution.region for execution in site.executions}, {"cairo"})
        for name, front in site.fronts.items():
            outcomes = len(front.reducer.components["claim-outcomes"]._attempts.memory)
            self.assertEqual(outcomes > 0, front.place.region == "cairo", name)
        elsewhere = {
            submission.outcome
            for submission in site.submissions
            if site.fronts[submission.front].place.region != "cairo"
            and submission.started > FIRST_START_S
        }
        self.assertEqual(elsewhere, {"status 307"})

    def test_key_with_another_payload_is_refused(self) -> None:
        site = idle_site()
        first, second = site.fronts_beside()[:2]
        self.assertEqual(self.submit(site, first, 0.5), "done")
        site.payload = b'{"asked": "something else"}'
        self.assertEqual(self.submit(site, second, 0.5), "status 409")
        site.payload = b'{ "asked":"key-under-test" }'
        self.assertEqual(self.submit(site, second, 0.5), "done")
        self.check(site, runs=1)


class GuardTest(unittest.TestCase):
    """Each scenario has no violations, but has some when its guard is disabled."""

    def violations_with(self, scenario, mutation: AbstractContextManager) -> list[str]:
        with mutation:
            site = idle_site()
            scenario(site)
        return site.violations()

    def assert_guards(self, scenario, mutation: AbstractContextManager) -> None:
        self.assertEqual(self.violations_with(scenario, nullcontext()), [])
        self.assertNotEqual(self.violations_with(scenario, mutation), [])

    def test_fence_stops_the_previous_owner(self) -> None:
        self.assert_guards(lambda site: self.two_owners(site, False), mutations.without_fence())

    def test_fence_survives_a_restart_of_the_stores(self) -> None:
        mutation = mutations.with_fence_in_memory_only()
        self.assert_guards(lambda site: self.two_owners(site, True), mutation)

    def two_owners(self, site: Site, restart_stores: bool) -> None:
        """A front cut off from the core sends its claim to the previous, still leased owner."""
        old = site.owner_of(KEY)
        stale, fresh, new = site.fronts_beside(old)[:3]
        site.cut_from_core |= {old, stale}
        site.move_role(shard_of(ROUTE, KEY), new)
        site.world.run_for(0.4)
        if restart_stores:
            site.restart_stores()
        site.send(KEY, stale)
        site.world.run_for(0.05)
        site.send(KEY, fresh)
        site.world.run_for(6.0)

    def test_claim_is_granted_only_once_recorded(self) -> None:
        def scenario(site: Site) -> None:
            old = site.owner_of(KEY)
            requester, other = site.fronts_beside(old)[:2]
            places = [store.place for store in site.stores.values()]
            places = [place for place in places if place.ip != site.fronts[requester].place.ip]
            site.world.network.cut([site.fronts[old].place], places)
            site.world.kill(site.stores["store-1"])
            site.send(KEY, requester)
            site.world.run_for(0.5)
            site.world.kill(site.fronts[old])
            site.world.kill(site.fronts[requester])
            site.world.restart(site.stores["store-1"])
            site.world.run_for(5.0)
            site.send(KEY, other)
            site.world.run_for(6.0)

        self.assert_guards(scenario, mutations.with_grant_before_record())

    def test_store_that_lost_its_disk_is_not_trusted(self) -> None:
        def scenario(site: Site) -> None:
            one, two, three = (site.stores[f"store-{zone}"] for zone in (1, 2, 3))
            old = site.owner_of(KEY)
            requester, other = site.fronts_beside(old)[:2]
            site.world.kill(one)
            site.send(KEY, requester)
            site.world.run_for(0.5)
            site.world.kill(site.fronts[old])
            site.world.kill(site.fronts[requester])
            site.world.restart(one)
            site.world.kill(two)
            two.disk.lose()
            site.world.restart(two)
            site.world.kill(three)
            site.world.run_for(5.0)
            site.send(KEY, other)
            site.world.run_for(6.0)

        self.assert_guards(scenario, mutations.with_damaged_stores_trusted())
