"""Once-only requests: one fault at a time, at the worst moment."""

import json
import unittest
from contextlib import AbstractContextManager, nullcontext

from rooklug.config.examples import read_example
from rooklug.front.once_only.claims import shard_of
from tests import once_mutations as mutations
from tests.once_support import ROUTE, Site

FIRST_START_S = 7.0
KEY = "key-under-test"


def quiet_site(seed: int = 1) -> Site:
    """Return a site that has started and has no traffic."""
    site = Site(seed)
    site.calling = False
    site.world.run_for(FIRST_START_S)
    return site


class ScenarioTest(unittest.TestCase):
    def check(self, site: Site, runs: int) -> None:
        self.assertEqual(site.violations(), [])
        self.assertEqual(len(site.executions), runs)

    def sent(self, site: Site, front: str, seconds: float = 6.0) -> str:
        sending = site.send(KEY, front)
        site.world.run_for(seconds)
        return sending.outcome

    def test_repeat_at_any_front_gets_the_same_result(self) -> None:
        site = quiet_site()
        for front in sorted(site.fronts):
            self.assertEqual(self.sent(site, front, 0.5), "done")
        self.assertEqual([sending.repeated for sending in site.sendings], [False] + [True] * 5)
        self.check(site, runs=1)

    def test_repeat_while_running_waits_for_the_result(self) -> None:
        site = quiet_site()
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

    def test_given_up_is_answered_at_the_deadline_and_not_later(self) -> None:
        site = quiet_site()
        site.lost_share = 0.5
        sending = site.send(KEY, site.fronts_beside()[0])
        site.world.run_for(6.0)
        self.assertEqual(sending.outcome, "unknown")
        self.assertLess(sending.ended - sending.started, 0.2)
        self.check(site, runs=1)

    def test_no_back_end_is_not_run_and_a_repeat_runs(self) -> None:
        site = quiet_site()
        backends = [site.world.processes[f"backend-{zone}"] for zone in (1, 2, 3)]
        for backend in backends:
            site.world.kill(backend)
        front, other = site.fronts_beside()[:2]
        self.assertEqual(self.sent(site, front), "not_run")
        self.assertLess(site.sendings[0].ended - site.sendings[0].started, 1.0)
        for backend in backends:
            site.world.restart(backend)
        self.assertEqual(self.sent(site, other), "done")
        self.check(site, runs=1)

    def test_asker_dies_after_the_run_and_the_copy_answers(self) -> None:
        site = quiet_site()
        front = site.fronts_beside(site.owner_of(KEY))[0]
        self.assertEqual(self.sent(site, front, 0.5), "done")
        site.world.kill(site.fronts[front])
        site.world.run_for(4.0)
        for other in site.fronts_beside(front):
            self.assertEqual(self.sent(site, other, 1.0), "done")
        self.check(site, runs=1)

    def test_asker_dies_in_the_middle_of_the_run(self) -> None:
        site = quiet_site()
        site.late_share = 1.0
        front, other = site.fronts_beside(site.owner_of(KEY))[:2]
        site.send(KEY, front)
        site.world.run_for(0.5)
        site.world.kill(site.fronts[front])
        site.world.restart(site.fronts[front])
        site.world.run_for(1.0)
        self.assertEqual(self.sent(site, other), "unknown")
        self.check(site, runs=1)

    def test_owner_dies_and_its_successor_knows(self) -> None:
        site = quiet_site()
        owner = site.owner_of(KEY)
        front, other = site.fronts_beside(owner)[:2]
        self.assertEqual(self.sent(site, front, 0.5), "done")
        site.world.kill(site.fronts[owner])
        self.assertEqual(self.sent(site, other), "done")
        self.assertTrue(site.sendings[-1].repeated)
        self.check(site, runs=1)

    def test_new_keys_wait_for_a_new_owner(self) -> None:
        site = quiet_site()
        owner = site.owner_of(KEY)
        site.world.kill(site.fronts[owner])
        self.assertEqual(self.sent(site, site.fronts_beside(owner)[0]), "done")
        self.check(site, runs=1)

    def test_everything_dies_and_the_disks_remember(self) -> None:
        site = quiet_site()
        front, other = site.fronts_beside()[:2]
        self.assertEqual(self.sent(site, front, 0.5), "done")
        everything = [*site.fronts.values(), *site.stores.values()]
        for process in everything:
            site.world.kill(process)
        for process in everything:
            site.world.restart(process)
        site.world.run_for(4.0)
        self.assertEqual(self.sent(site, other), "unknown")
        site.send("another key", other)
        site.world.run_for(1.0)
        self.assertEqual(site.sendings[-1].outcome, "done")
        self.check(site, runs=2)

    def test_frozen_asker_writes_nothing_late(self) -> None:
        site = quiet_site()
        front, other = site.fronts_beside(site.owner_of(KEY))[:2]
        site.send(KEY, front)
        site.world.run_for(0.002)
        site.fronts[front].freeze()
        site.world.run_for(7.0)
        site.fronts[front].thaw()
        site.world.run_for(1.0)
        self.check(site, runs=0)
        self.assertEqual(self.sent(site, other), "done")
        self.check(site, runs=1)

    def test_lost_disk_is_restored_and_then_counts(self) -> None:
        site = quiet_site()
        front, other = site.fronts_beside(site.owner_of(KEY))[:2]
        self.assertEqual(self.sent(site, front, 0.5), "done")
        stores = list(site.stores.values())
        site.world.kill(stores[0])
        stores[0].disk.lose()
        site.world.restart(stores[0])
        site.world.run_for(25.0)
        site.world.machine_fails(stores[1])
        site.world.kill(site.fronts[site.owner_of(KEY)])
        site.world.run_for(4.0)
        self.assertEqual(self.sent(site, other), "done")
        self.check(site, runs=1)

    def test_all_stores_blank_and_the_fronts_tell(self) -> None:
        site = quiet_site()
        front = site.fronts_beside()[0]
        self.assertEqual(self.sent(site, front, 0.5), "done")
        for store in site.stores.values():
            site.world.kill(store)
            store.disk.lose()
            site.world.restart(store)
        site.move_role(shard_of(ROUTE, KEY), site.fronts_beside(site.owner_of(KEY))[0])
        site.world.run_for(8.0)
        self.assertEqual(self.sent(site, site.fronts_beside()[1]), "done")
        self.assertTrue(site.sendings[-1].repeated)
        self.check(site, runs=1)

    def test_stalled_disk_of_one_store_delays_nothing(self) -> None:
        site = quiet_site()
        site.stores["store-1"].disk.stalled_until = site.world.now + 20.0
        self.assertEqual(self.sent(site, site.fronts_beside()[0], 0.5), "done")
        self.check(site, runs=1)

    def test_without_stores_nothing_runs(self) -> None:
        site = quiet_site()
        for store in site.stores.values():
            site.world.kill(store)
        sending = site.send(KEY, site.fronts_beside()[0])
        site.world.run_for(6.0)
        self.assertEqual(sending.outcome, "not_run")
        self.assertLess(sending.ended - sending.started, 4.1)
        self.check(site, runs=0)

    def test_in_a_long_outage_refusals_come_at_once(self) -> None:
        site = quiet_site()
        for store in site.stores.values():
            site.world.kill(store)
        front = site.fronts_beside()[0]
        keys = [f"key-{number}" for number in range(400)]
        of_one_shard = [key for key in keys if shard_of(ROUTE, key) == shard_of(ROUTE, KEY)]
        sendings = []
        for key in of_one_shard[:8]:
            sendings.append(site.send(key, front))
            site.world.run_for(1.0)
        site.world.run_for(3.0)
        # A caller may itself have hung up ("lost") on one of the first, that still waited.
        self.assertLessEqual({sending.outcome for sending in sendings}, {"not_run", "lost"})
        for sending in sendings[-2:]:
            self.assertEqual(sending.outcome, "not_run")
            self.assertLess(sending.ended - sending.started, 0.2)
        for store in site.stores.values():
            site.world.restart(store)
        site.world.run_for(1.0)
        self.assertEqual(self.sent(site, front), "done")
        self.assertEqual(site.violations(), [])

    def test_a_bound_route_stays_at_home(self) -> None:
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
            sending.outcome
            for sending in site.sendings
            if site.fronts[sending.front].place.region != "cairo"
            and sending.started > FIRST_START_S
        }
        self.assertEqual(elsewhere, {"status 307"})

    def test_key_with_another_payload_is_refused(self) -> None:
        site = quiet_site()
        first, second = site.fronts_beside()[:2]
        self.assertEqual(self.sent(site, first, 0.5), "done")
        site.payload = b'{"asked": "something else"}'
        self.assertEqual(self.sent(site, second, 0.5), "status 409")
        site.payload = b'{ "asked":"key-under-test" }'
        self.assertEqual(self.sent(site, second, 0.5), "done")
        self.check(site, runs=1)


class GuardTest(unittest.TestCase):
    """Each run is whole with its guard, and breaks a promise without it."""

    def violations_with(self, scenario, mutation: AbstractContextManager) -> list[str]:
        with mutation:
            site = quiet_site()
            scenario(site)
        return site.violations()

    def assert_guards(self, scenario, mutation: AbstractContextManager) -> None:
        self.assertEqual(self.violations_with(scenario, nullcontext()), [])
        self.assertNotEqual(self.violations_with(scenario, mutation), [])

    def test_fence_stops_the_owner_before(self) -> None:
        self.assert_guards(lambda site: self.two_owners(site, False), mutations.without_fence())

    def test_fence_survives_a_restart_of_the_stores(self) -> None:
        mutation = mutations.with_fence_in_memory_only()
        self.assert_guards(lambda site: self.two_owners(site, True), mutation)

    def two_owners(self, site: Site, restart_stores: bool) -> None:
        """A front that is cut off still asks the owner before, which still has its lease."""
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

    def test_grant_follows_the_record(self) -> None:
        def scenario(site: Site) -> None:
            old = site.owner_of(KEY)
            asker, other = site.fronts_beside(old)[:2]
            places = [store.place for store in site.stores.values()]
            places = [place for place in places if place.ip != site.fronts[asker].place.ip]
            site.world.network.cut([site.fronts[old].place], places)
            site.world.kill(site.stores["store-1"])
            site.send(KEY, asker)
            site.world.run_for(0.5)
            site.world.kill(site.fronts[old])
            site.world.kill(site.fronts[asker])
            site.world.restart(site.stores["store-1"])
            site.world.run_for(5.0)
            site.send(KEY, other)
            site.world.run_for(6.0)

        self.assert_guards(scenario, mutations.with_grant_before_record())

    def test_blank_store_does_not_vouch(self) -> None:
        def scenario(site: Site) -> None:
            one, two, three = (site.stores[f"store-{zone}"] for zone in (1, 2, 3))
            old = site.owner_of(KEY)
            asker, other = site.fronts_beside(old)[:2]
            site.world.kill(one)
            site.send(KEY, asker)
            site.world.run_for(0.5)
            site.world.kill(site.fronts[old])
            site.world.kill(site.fronts[asker])
            site.world.restart(one)
            site.world.kill(two)
            two.disk.lose()
            site.world.restart(two)
            site.world.kill(three)
            site.world.run_for(5.0)
            site.send(KEY, other)
            site.world.run_for(6.0)

        self.assert_guards(scenario, mutations.with_blank_stores_trusted())
