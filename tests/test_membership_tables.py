"""Leases, roles, publications and decisions at the primary, each on its own."""

import unittest

from rooklug.membership.decisions import START, Cursor, DecisionRing, DecisionStream
from rooklug.membership.leases import LeaseTable, RenewalOutcome, identity_of
from rooklug.membership.members_topic import MembersTopic
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
    node: ttypes.NodeRecord, sequence: int, held: tuple[RoleGrant, ...] = (), seen_epoch: int = 5
) -> ttypes.RenewLeaseRequest:
    return ttypes.RenewLeaseRequest(node, list(held), False, sequence, seen_epoch)


class LeaseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leases = LeaseTable()
        self.leases.start(START_AT)

    def test_nobody_is_declared_dead_during_the_grace(self) -> None:
        self.leases.renew(renewal(record("a"), 1), START_AT - 50)
        self.assertEqual(self.leases.expire(START_AT + NODE_LEASE_EXPIRY_S - 0.01), [])
        gone = self.leases.expire(START_AT + NODE_LEASE_EXPIRY_S)
        self.assertEqual([node.node_id for node in gone], ["a"])

    def test_a_late_renewal_is_ignored(self) -> None:
        self.leases.renew(renewal(record("a"), 2), START_AT)
        outcome = self.leases.renew(renewal(record("a", ready=False), 1), START_AT)
        self.assertIs(outcome, RenewalOutcome.STALE)
        self.assertTrue(self.leases.live()[0].ready)

    def test_a_process_that_was_replaced_does_not_come_back(self) -> None:
        old, new = record("a"), record("a", incarnation="2")
        self.leases.renew(renewal(old, 7), START_AT)
        self.assertIs(self.leases.renew(renewal(new, 1), START_AT), RenewalOutcome.CHANGED)
        self.assertIs(self.leases.renew(renewal(old, 8), START_AT), RenewalOutcome.STALE)
        self.assertTrue(self.leases.is_live(identity_of(new)))

    def test_a_process_that_left_does_not_come_back(self) -> None:
        self.leases.renew(renewal(record("a"), 1), START_AT)
        self.assertTrue(self.leases.leave(identity_of(record("a"))))
        self.assertIs(self.leases.renew(renewal(record("a"), 2), START_AT), RenewalOutcome.STALE)

    def test_members_go_out_only_for_what_matters(self) -> None:
        topic, roles, store = MembersTopic(), RoleTable(), TopicStore()
        self.leases.renew(renewal(record("a"), 1), START_AT)
        self.assertTrue(topic.publish(store, self.leases, roles, 0, START_AT))
        served = record("a", configuration=VersionMark(5, 9))
        self.assertIs(self.leases.renew(renewal(served, 2), START_AT), RenewalOutcome.RENEWED)
        self.assertFalse(topic.publish(store, self.leases, roles, 0, START_AT))


class PrimacyTest(unittest.TestCase):
    def test_news_of_a_later_primary_do_not_change_the_epoch_of_the_own_term(self) -> None:
        primacy = PrimaryTracker("own:1")
        primacy.start(internal.PrimaryStarted(5))
        primacy.extend(internal.PrimaryLeaseExtended(5, 10.0))
        primacy.record_primary(internal.PrimaryChanged(8, "other:1"))
        self.assertEqual((primacy.epoch, primacy.address(9.0)), (5, "own:1"))
        self.assertEqual(primacy.address(10.0), "")
        primacy.stop()
        primacy.record_primary(internal.PrimaryChanged(6, "older:1"))
        self.assertEqual(primacy.address(11.0), "other:1")


class RoleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.roles = RoleTable()
        self.roles.start(5, START_AT)
        self.nodes = [record("a", "z1"), record("b", "z2")]

    def grants(
        self, name: str, now: float, held: tuple[RoleGrant, ...] = (), seen_epoch: int = 5
    ) -> dict[str, RoleGrant]:
        request = renewal(next(n for n in self.nodes if n.node_id == name), 1, held, seen_epoch)
        self.roles.apply_renewal(request, now)
        return {grant.role_key: grant for grant in self.roles.renew_grants(request, now)[0]}

    def plan(self, now: float, emptied: tuple[str, ...] = ()) -> None:
        self.roles.plan(self.nodes, frozenset(emptied), now)

    def placer(self, now: float) -> tuple[str, RoleGrant]:
        for node in self.nodes:
            grant = self.grants(node.node_id, now).get(ROLE_PLACER)
            if grant is not None:
                return node.node_id, grant
        raise AssertionError("nobody got the placer's role")

    def test_an_unannounced_role_waits_for_the_old_primary_and_its_grants(self) -> None:
        self.plan(START_AT + UNANNOUNCED_GRANTS_EXPIRY_S - 0.1)
        self.assertEqual(self.grants("a", START_AT + UNANNOUNCED_GRANTS_EXPIRY_S - 0.1), {})
        self.plan(READY_AT)
        self.assertEqual(len(self.grants("a", READY_AT)) + len(self.grants("b", READY_AT)), 6)

    def test_an_announced_role_is_extended_only_in_the_second_renewal(self) -> None:
        old = RoleGrant(ROLE_PLACER, VersionMark(4, 7), 900)
        first = self.grants("a", START_AT, (old,), seen_epoch=4)[ROLE_PLACER]
        self.assertEqual((first.token, first.lease_ms), (old.token, 900))
        second = self.grants("a", START_AT + 0.1, (first,))[ROLE_PLACER]
        self.assertEqual((second.token, second.lease_ms), (old.token, ROLE_LEASE_MS))

    def test_of_two_announced_tokens_the_newer_counts(self) -> None:
        newer = RoleGrant(ROLE_PLACER, VersionMark(4, 8), 900)
        older = RoleGrant(ROLE_PLACER, VersionMark(4, 7), 900)
        self.grants("a", START_AT, (newer,), seen_epoch=4)
        self.assertEqual(self.grants("b", START_AT, (older,), seen_epoch=4), {})

    def test_a_role_announced_too_late_is_not_taken_back(self) -> None:
        old = RoleGrant(ROLE_PLACER, VersionMark(4, 7), 900)
        self.assertEqual(self.grants("a", READY_AT, (old,), seen_epoch=4), {})

    def test_a_leaving_holder_frees_its_roles_at_once(self) -> None:
        self.plan(READY_AT)
        holder, grant = self.placer(READY_AT)
        node = next(n for n in self.nodes if n.node_id == holder)
        self.roles.apply_leave(renewal(node, 2), READY_AT)
        self.nodes.remove(node)
        self.plan(READY_AT)
        _, taken = self.placer(READY_AT)
        self.assertEqual(taken.token.epoch, 5)
        self.assertGreater(taken.token.counter, grant.token.counter)

    def test_a_dead_holder_keeps_its_role_until_its_lease_is_over(self) -> None:
        self.plan(READY_AT)
        holder, _ = self.placer(READY_AT)
        self.nodes = [n for n in self.nodes if n.node_id != holder]
        self.plan(READY_AT + 1)
        early = READY_AT + ROLE_LEASE_EXPIRY_S - 0.01
        self.assertNotIn(ROLE_PLACER, self.grants(self.nodes[0].node_id, early))
        self.placer(READY_AT + ROLE_LEASE_EXPIRY_S)

    def test_a_holder_in_an_emptied_zone_gives_its_role_over(self) -> None:
        self.plan(READY_AT)
        holder, grant = self.placer(READY_AT)
        zone = next(n.zone for n in self.nodes if n.node_id == holder)
        self.plan(READY_AT, (zone,))
        self.assertEqual(self.grants(holder, READY_AT + 0.1, (grant,)), {})
        other = next(n.node_id for n in self.nodes if n.node_id != holder)
        # The holder's next renewal doesn't mention the role: it is free at once.
        self.grants(holder, READY_AT + 0.2)
        self.plan(READY_AT + 0.2, (zone,))
        self.assertIn(ROLE_PLACER, self.grants(other, READY_AT + 0.2))

    def test_a_view_change_of_the_same_primary_keeps_everything(self) -> None:
        self.plan(READY_AT)
        holder, grant = self.placer(READY_AT)
        self.roles.raise_epoch(8)
        kept = self.grants(holder, READY_AT + 1, (grant,))[ROLE_PLACER]
        self.assertEqual((kept.token, kept.lease_ms), (grant.token, ROLE_LEASE_MS))

    def test_a_joining_node_gets_one_role_at_a_time(self) -> None:
        self.plan(READY_AT)
        now = READY_AT
        held = {name: tuple(self.grants(name, now).values()) for name in ("a", "b")}
        self.nodes.append(record("c", "z3"))
        moves = []
        for _ in range(100):
            now += 1.0
            self.plan(now)
            held = {n.node_id: tuple(self.grants(n.node_id, now, held.get(n.node_id, ())).values())
                    for n in self.nodes}  # fmt: skip
            moves.append(len(held["c"]))
        self.assertEqual(moves[-1], 2)
        self.assertEqual(moves[0], 0)
        self.assertGreaterEqual(moves.index(2) - moves.index(1), 9)

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

    def test_under_the_current_token_only(self) -> None:
        self.assertIsNone(self.publish(1))
        self.assertIs(self.publish(2, topic=REPLICAS), PublishRejection.WRONG_ROLE)
        self.assertIs(self.publish(2, token=VersionMark(4, 99)), PublishRejection.STALE_TOKEN)
        late = READY_AT + ROLE_LEASE_EXPIRY_S
        self.assertIs(self.publish(2, now=late), PublishRejection.STALE_TOKEN)

    def test_the_sequence_grows_and_a_repeat_is_taken_again(self) -> None:
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
    def test_a_reader_goes_on_from_its_cursor_without_repeats(self) -> None:
        ring = DecisionRing(limit=4)
        ring.append([decision(1, n) for n in (1, 2, 2, 3)], reannounced=False)
        page = ring.after(Cursor(1, 1, 1))
        self.assertEqual([r.sequence for r in page.decisions], [2, 3])
        self.assertFalse(page.gap)
        ring.append([decision(2, n) for n in (1, 2, 3)], reannounced=False)
        self.assertTrue(ring.after(Cursor(1, 1, 1)).gap)
        self.assertTrue(ring.after(START).gap)
        self.assertFalse(ring.after(Cursor(1, 2, 1)).gap)

    def test_reads_wait_for_the_next_decision_and_end_empty(self) -> None:
        stream = DecisionStream()
        self.assertEqual(stream.read(7, read(START), 0.0), [])
        replies = stream.append([decision(1, 1)], 0.5)
        self.assertEqual([(r.call_id, len(r.page.decisions)) for r in replies], [(7, 1)])
        self.assertEqual(stream.read(8, read(Cursor(1, 1, 1)), 1.0), [])
        self.assertEqual([r.page.decisions for r in stream.expire(2.0)], [[]])

    def test_after_a_failover_a_cursor_is_found_again(self) -> None:
        stream = DecisionStream()
        stream.start(complete_at=5.0)
        self.assertEqual(stream.read(7, read(Cursor(1, 1, 2), 9000), 0.0), [])
        stream.append([decision(1, 1)], 0.5)
        replies = stream.append([decision(1, n) for n in (2, 3)], 1.0)
        self.assertEqual([r.sequence for r in replies[0].page.decisions], [3])
        self.assertFalse(replies[0].page.gap)

    def test_after_a_failover_the_order_of_two_holders_is_unknown(self) -> None:
        stream = DecisionStream()
        stream.start(complete_at=5.0)
        stream.append([decision(2, 1)], 0.5)
        stream.append([decision(1, 1), decision(1, 2)], 1.0)
        replies = stream.read(7, read(Cursor(1, 1, 1)), 1.0)
        self.assertTrue(replies[0].page.gap)

    def test_a_cursor_that_is_gone_gives_a_gap(self) -> None:
        stream = DecisionStream()
        stream.start(complete_at=5.0)
        stream.append([decision(2, 1)], 1.0)
        self.assertEqual(stream.read(7, read(Cursor(1, 1, 1), 9000), 1.0), [])
        self.assertTrue(stream.expire(5.0)[0].page.gap)
