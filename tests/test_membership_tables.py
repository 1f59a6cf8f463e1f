"""The tables of the primary on their own: leases, roles, publications, decisions."""

import unittest

from rooklug.engine import events as ev
from rooklug.engine.component import EmitEvent
from rooklug.membership.decisions import START, Cursor, DecisionRing, DecisionStream
from rooklug.membership.lease_service import LeaseService
from rooklug.membership.leases import LeaseTable, RenewalOutcome, identity_of
from rooklug.membership.members_topic import MembersTopic
from rooklug.membership.membership_state import MembershipState
from rooklug.membership.primary_tracker import PrimaryTracker
from rooklug.membership.publications import Publications, PublishRejection, publication_version
from rooklug.membership.roles import ROLE_LEASE_MS, RoleTable
from rooklug.membership.selection import Load, choose_node
from rooklug.membership.timing import (
    NODE_LEASE_EXPIRY_S,
    ROLE_LEASE_EXPIRY_S,
    UNANNOUNCED_GRANTS_EXPIRY_S,
)
from rooklug.membership.topic_store import TopicStore
from rooklug.model import internal_events as internal
from rooklug.model.internal_events import EarlierPrimaryReported, GroupStartReported
from rooklug.model.topics import PLAN, REPLICAS, ROLE_PLACER
from rooklug.wire.generated.control import ttypes
from rooklug.wire.generated.control.ttypes import RoleGrant, VersionMark

START_AT = 100.0
READY_AT = START_AT + UNANNOUNCED_GRANTS_EXPIRY_S + 0.1


def record(name: str, zone: str = "z1", **changes: object) -> ttypes.NodeRecord:
    fields = {"role": "controller", "incarnation": "1", "ready": True, "draining": False}
    fields |= {"region": "r", "internal_address": name, "http_address": name}
    fields |= {"configuration": VersionMark(0, 0)} | changes
    return ttypes.NodeRecord(node_id=name, zone=zone, **fields)


def renewal(
    node: ttypes.NodeRecord,
    sequence: int,
    held_grants: tuple[RoleGrant, ...] = (),
    seen_epoch: int = 5,
) -> ttypes.RenewLeaseRequest:
    return ttypes.RenewLeaseRequest(node, list(held_grants), False, sequence, seen_epoch)


class PastOfTheGroup(unittest.TestCase):
    """What a core without a primary learns from a node's renewal."""

    def reports(
        self, *, configuration: VersionMark, seen_epoch: int, group_is_starting: bool
    ) -> list[type]:
        request = renewal(record("a", configuration=configuration), 1, seen_epoch=seen_epoch)
        request.group_is_starting = group_is_starting
        service = LeaseService(MembershipState(PrimaryTracker("core-a")))
        effects = service.renew(ev.CallArrived(1, "a", request), 0.0)
        return [type(effect.event) for effect in effects if isinstance(effect, EmitEvent)]

    def test_a_primary_heard_of_outweighs_the_first_start(self) -> None:
        # Nothing but the first start was reported, so that blank disks could replace lost data.
        nothing, some = VersionMark(0, 0), VersionMark(2, 7)
        for configuration, seen_epoch, is_starting, expected in (
            (nothing, 0, False, []),
            (nothing, 0, True, [GroupStartReported]),
            (nothing, 3, True, [EarlierPrimaryReported]),
            (some, 0, True, [EarlierPrimaryReported]),
            (some, 3, False, [EarlierPrimaryReported]),
        ):
            with self.subTest(configuration=configuration, seen_epoch=seen_epoch):
                reported = self.reports(
                    configuration=configuration,
                    seen_epoch=seen_epoch,
                    group_is_starting=is_starting,
                )
                self.assertEqual(reported, expected)


class LeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leases = LeaseTable()
        self.leases.start(START_AT)

    def test_no_lease_expires_during_the_grace_period(self) -> None:
        self.leases.renew(renewal(record("a"), 1), START_AT - 50)
        self.assertEqual(self.leases.expire(START_AT + NODE_LEASE_EXPIRY_S - 0.01), [])
        gone = self.leases.expire(START_AT + NODE_LEASE_EXPIRY_S)
        self.assertEqual([node.node_id for node in gone], ["a"])

    def test_overtaken_renewal_is_ignored(self) -> None:
        self.leases.renew(renewal(record("a"), 2), START_AT)
        outcome = self.leases.renew(renewal(record("a", ready=False), 1), START_AT)
        self.assertIs(outcome, RenewalOutcome.STALE)
        self.assertTrue(self.leases.live_nodes()[0].ready)

    def test_replaced_process_cannot_renew(self) -> None:
        old, new = record("a"), record("a", incarnation="2")
        self.leases.renew(renewal(old, 7), START_AT)
        self.assertIs(self.leases.renew(renewal(new, 1), START_AT), RenewalOutcome.CHANGED)
        self.assertIs(self.leases.renew(renewal(old, 8), START_AT), RenewalOutcome.STALE)
        self.assertTrue(self.leases.is_live(identity_of(new)))

    def test_process_that_left_cannot_renew(self) -> None:
        self.leases.renew(renewal(record("a"), 1), START_AT)
        self.assertTrue(self.leases.leave(identity_of(record("a"))))
        self.assertIs(self.leases.renew(renewal(record("a"), 2), START_AT), RenewalOutcome.STALE)

    def test_members_are_published_only_for_published_fields(self) -> None:
        topic, roles, store = MembersTopic(), RoleTable(), TopicStore()
        self.leases.renew(renewal(record("a"), 1), START_AT)
        self.assertTrue(topic.publish(store, self.leases, roles, 0, START_AT))
        served = record("a", configuration=VersionMark(5, 9))
        self.assertIs(self.leases.renew(renewal(served, 2), START_AT), RenewalOutcome.RENEWED)
        self.assertFalse(topic.publish(store, self.leases, roles, 0, START_AT))


class PrimaryTrackerTest(unittest.TestCase):
    def test_later_primary_does_not_change_the_epoch_of_the_own_term(self) -> None:
        tracker = PrimaryTracker("own:1")
        tracker.start(internal.PrimaryStarted(5))
        tracker.extend(internal.PrimaryLeaseExtended(5, 10.0))
        tracker.record_primary(internal.PrimaryChanged(8, "other:1"))
        self.assertEqual((tracker.epoch, tracker.address(9.0)), (5, "own:1"))
        self.assertEqual(tracker.address(10.0), "")
        tracker.stop()
        tracker.record_primary(internal.PrimaryChanged(6, "older:1"))
        self.assertEqual(tracker.address(11.0), "other:1")


class RoleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.roles = RoleTable()
        self.roles.start(5, START_AT)
        self.nodes = [record("a", "z1"), record("b", "z2")]

    def grants(
        self, name: str, now: float, held_grants: tuple[RoleGrant, ...] = (), seen_epoch: int = 5
    ) -> dict[str, RoleGrant]:
        request = renewal(
            next(n for n in self.nodes if n.node_id == name), 1, held_grants, seen_epoch
        )
        self.roles.apply_renewal(request, now)
        return {grant.role_key: grant for grant in self.roles.renew_grants(request, now)[0]}

    def plan(self, now: float, drained_zones: tuple[str, ...] = ()) -> None:
        self.roles.plan(self.nodes, frozenset(drained_zones), now)

    def placer(self, now: float) -> tuple[str, RoleGrant]:
        for node in self.nodes:
            grant = self.grants(node.node_id, now).get(ROLE_PLACER)
            if grant is not None:
                return node.node_id, grant
        raise AssertionError("no node was granted the placer role")

    def test_unannounced_role_is_granted_only_after_earlier_grants_expire(self) -> None:
        self.plan(START_AT + UNANNOUNCED_GRANTS_EXPIRY_S - 0.1)
        self.assertEqual(self.grants("a", START_AT + UNANNOUNCED_GRANTS_EXPIRY_S - 0.1), {})
        self.plan(READY_AT)
        self.assertEqual(len(self.grants("a", READY_AT)) + len(self.grants("b", READY_AT)), 6)

    def test_announced_grant_is_extended_only_by_the_second_renewal(self) -> None:
        old = RoleGrant(ROLE_PLACER, VersionMark(4, 7), 900)
        first = self.grants("a", START_AT, (old,), seen_epoch=4)[ROLE_PLACER]
        self.assertEqual((first.token, first.lease_ms), (old.token, 900))
        second = self.grants("a", START_AT + 0.1, (first,))[ROLE_PLACER]
        self.assertEqual((second.token, second.lease_ms), (old.token, ROLE_LEASE_MS))

    def test_newer_of_two_announced_tokens_wins(self) -> None:
        newer = RoleGrant(ROLE_PLACER, VersionMark(4, 8), 900)
        older = RoleGrant(ROLE_PLACER, VersionMark(4, 7), 900)
        self.grants("a", START_AT, (newer,), seen_epoch=4)
        self.assertEqual(self.grants("b", START_AT, (older,), seen_epoch=4), {})

    def test_grant_announced_after_the_deadline_is_ignored(self) -> None:
        old = RoleGrant(ROLE_PLACER, VersionMark(4, 7), 900)
        self.assertEqual(self.grants("a", READY_AT, (old,), seen_epoch=4), {})

    def test_leaving_owner_frees_its_roles_immediately(self) -> None:
        self.plan(READY_AT)
        owner, grant = self.placer(READY_AT)
        node = next(n for n in self.nodes if n.node_id == owner)
        self.roles.apply_leave(renewal(node, 2), READY_AT)
        self.nodes.remove(node)
        self.plan(READY_AT)
        _, new_grant = self.placer(READY_AT)
        self.assertEqual(new_grant.token.epoch, 5)
        self.assertGreater(new_grant.token.counter, grant.token.counter)

    def test_role_of_a_dead_owner_is_granted_only_after_its_lease(self) -> None:
        self.plan(READY_AT)
        owner, _ = self.placer(READY_AT)
        self.nodes = [n for n in self.nodes if n.node_id != owner]
        self.plan(READY_AT + 1)
        early = READY_AT + ROLE_LEASE_EXPIRY_S - 0.01
        self.assertNotIn(ROLE_PLACER, self.grants(self.nodes[0].node_id, early))
        self.placer(READY_AT + ROLE_LEASE_EXPIRY_S)

    def test_role_moves_out_of_a_drained_zone(self) -> None:
        self.plan(READY_AT)
        owner, grant = self.placer(READY_AT)
        zone = next(n.zone for n in self.nodes if n.node_id == owner)
        self.plan(READY_AT, (zone,))
        self.assertEqual(self.grants(owner, READY_AT + 0.1, (grant,)), {})
        other = next(n.node_id for n in self.nodes if n.node_id != owner)
        # The owner's next renewal doesn't announce the grant, so the role is free immediately.
        self.grants(owner, READY_AT + 0.2)
        self.plan(READY_AT + 0.2, (zone,))
        self.assertIn(ROLE_PLACER, self.grants(other, READY_AT + 0.2))

    def test_view_change_of_the_same_primary_keeps_grants(self) -> None:
        self.plan(READY_AT)
        owner, grant = self.placer(READY_AT)
        self.roles.raise_epoch(8)
        extended = self.grants(owner, READY_AT + 1, (grant,))[ROLE_PLACER]
        self.assertEqual((extended.token, extended.lease_ms), (grant.token, ROLE_LEASE_MS))

    def test_joining_node_gets_one_role_per_rebalance_interval(self) -> None:
        self.plan(READY_AT)
        now = READY_AT
        held = {name: tuple(self.grants(name, now).values()) for name in ("a", "b")}
        self.nodes.append(record("c", "z3"))
        grants_of_new_node = []
        for _ in range(100):
            now += 1.0
            self.plan(now)
            held = {n.node_id: tuple(self.grants(n.node_id, now, held.get(n.node_id, ())).values())
                    for n in self.nodes}  # fmt: skip
            grants_of_new_node.append(len(held["c"]))
        self.assertEqual(grants_of_new_node[-1], 2)
        self.assertEqual(grants_of_new_node[0], 0)
        self.assertGreaterEqual(grants_of_new_node.index(2) - grants_of_new_node.index(1), 9)

    def test_roles_spread_over_zones_and_nodes(self) -> None:
        nodes = [record(f"n{i}", f"z{i % 3}") for i in range(6)]
        owners: list[str] = []
        for shard in range(16):
            owners.append(choose_node(f"claims/{shard}", nodes, Load.of(owners, nodes), 16))
        load = Load.of(owners, nodes)
        self.assertLessEqual(max(load.by_zone.values()), 6)
        self.assertLessEqual(max(load.by_node.values()), 3)


class PublicationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.roles = RoleTable()
        self.roles.start(5, START_AT)
        node = record("a")
        self.roles.plan([node], frozenset(), READY_AT)
        grants, _ = self.roles.renew_grants(renewal(node, 1), READY_AT)
        self.token = next(g.token for g in grants if g.role_key == ROLE_PLACER)
        self.store = TopicStore()
        self.publications = Publications(self.store, self.roles)

    def publish(self, sequence: int, now: float = READY_AT, **changes: object) -> object:
        fields = {"topic": PLAN, "role_key": ROLE_PLACER, "token": self.token} | changes
        request = ttypes.PublishRequest(sequence=sequence, body=b"x", decisions=[], **fields)
        return self.publications.publish(request, now)

    def test_publication_requires_the_current_token(self) -> None:
        self.assertIsNone(self.publish(1))
        self.assertIs(self.publish(2, topic=REPLICAS), PublishRejection.WRONG_ROLE)
        self.assertIs(self.publish(2, token=VersionMark(4, 99)), PublishRejection.STALE_TOKEN)
        late = READY_AT + ROLE_LEASE_EXPIRY_S
        self.assertIs(self.publish(2, now=late), PublishRejection.STALE_TOKEN)

    def test_older_sequence_is_rejected_and_a_repeat_accepted(self) -> None:
        self.assertIsNone(self.publish(2))
        self.assertIsNone(self.publish(2))
        self.assertIs(self.publish(1), PublishRejection.OLD_SEQUENCE)
        self.assertIs(self.publish(0), PublishRejection.BAD_SEQUENCE)
        self.assertEqual(self.store.version(PLAN), publication_version(self.token, 2))


def decision(counter: int, sequence: int) -> ttypes.DecisionRecord:
    return ttypes.DecisionRecord(VersionMark(1, counter), sequence, "plan", "c", "s", 0)


def read(cursor: Cursor, wait_ms: int = 1000) -> ttypes.ReadDecisionsRequest:
    token = VersionMark(cursor.epoch, cursor.counter)
    return ttypes.ReadDecisionsRequest(token, cursor.sequence, wait_ms)


class DecisionTest(unittest.TestCase):
    def test_reader_resumes_from_its_cursor_without_repeats(self) -> None:
        ring = DecisionRing(limit=4)
        ring.append([decision(1, n) for n in (1, 2, 2, 3)], reannounced=False)
        page = ring.page_after(Cursor(1, 1, 1))
        self.assertEqual([r.sequence for r in page.decisions], [2, 3])
        self.assertFalse(page.gap)
        ring.append([decision(2, n) for n in (1, 2, 3)], reannounced=False)
        self.assertTrue(ring.page_after(Cursor(1, 1, 1)).gap)
        self.assertTrue(ring.page_after(START).gap)
        self.assertFalse(ring.page_after(Cursor(1, 2, 1)).gap)

    def test_read_waits_for_the_next_decision_or_times_out_empty(self) -> None:
        stream = DecisionStream()
        self.assertEqual(stream.read(7, read(START), 0.0), [])
        replies = stream.append([decision(1, 1)], 0.5)
        self.assertEqual([(r.call_id, len(r.page.decisions)) for r in replies], [(7, 1)])
        self.assertEqual(stream.read(8, read(Cursor(1, 1, 1)), 1.0), [])
        self.assertEqual([r.page.decisions for r in stream.expire(2.0)], [[]])

    def test_cursor_is_found_again_after_a_failover(self) -> None:
        stream = DecisionStream()
        stream.start(complete_at=5.0)
        self.assertEqual(stream.read(7, read(Cursor(1, 1, 2), 9000), 0.0), [])
        stream.append([decision(1, 1)], 0.5)
        replies = stream.append([decision(1, n) for n in (2, 3)], 1.0)
        self.assertEqual([r.sequence for r in replies[0].page.decisions], [3])
        self.assertFalse(replies[0].page.gap)

    def test_order_of_two_owners_is_unknown_after_a_failover(self) -> None:
        stream = DecisionStream()
        stream.start(complete_at=5.0)
        stream.append([decision(2, 1)], 0.5)
        stream.append([decision(1, 1), decision(1, 2)], 1.0)
        replies = stream.read(7, read(Cursor(1, 1, 1)), 1.0)
        self.assertTrue(replies[0].page.gap)

    def test_dropped_cursor_gives_a_gap(self) -> None:
        stream = DecisionStream()
        stream.start(complete_at=5.0)
        stream.append([decision(2, 1)], 1.0)
        self.assertEqual(stream.read(7, read(Cursor(1, 1, 1), 9000), 1.0), [])
        self.assertTrue(stream.expire(5.0)[0].page.gap)
