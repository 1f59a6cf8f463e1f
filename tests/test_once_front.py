"""A front's answers to invalid or misplaced requests, its bounded memory, the store's file."""

import json
import unittest
from random import Random
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from rooklug.config.document_reader import read_configuration
from rooklug.config.examples import read_example
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers, ProcessContext
from rooklug.front.once_only import limits, outcome_memory, shard_table, store_state
from rooklug.front.once_only.attempt import AttemptState
from rooklug.front.once_only.attempt_table import AttemptTable
from rooklug.front.once_only.claim_store import ClaimStore, claims_file
from rooklug.front.once_only.once_only_component import OnceOnlyComponent
from rooklug.front.once_only.outcome_memory import Outcome, OutcomeMemory
from rooklug.front.once_only.shard_table import ShardTable
from rooklug.front.once_only.store_state import (
    StoredShard,
    claim_entry,
    fence_entry,
    intact_entry,
    load_shard,
)
from rooklug.front.readiness import DrainingStarted
from rooklug.front.routing_view import ViewSources
from rooklug.front.view_building import build_routing_view
from rooklug.front.view_component import RoutingViewChanged
from rooklug.model.constants import MAX_JSON_DEPTH
from rooklug.wire.codec import encode
from rooklug.wire.generated.claims import ttypes as claims
from rooklug.wire.generated.control import ttypes as wire

HEADERS = {"x-rooklug-route": "payslip-lookup", "x-rooklug-key": "key-1"}


def node(name: str, zone: str, region: str) -> wire.NodeRecord:
    mark = wire.VersionMark(1, 1)
    return wire.NodeRecord(
        name, "front", zone, region, f"{name}:1", f"{name}:2", "i", True, False, mark
    )


class FakeLink:
    def members(self) -> list:
        return []

    def role_owner(self, role_key: str) -> None:
        return None


class Front:
    """The once-only component of a front in region alexandria, for given home regions."""

    def __init__(self, homes: list[str], drained_zones: frozenset = frozenset()) -> None:
        document = json.loads(read_example("payroll"))
        document["routes"]["payslip-lookup"]["home_regions"] = homes
        nodes = (
            node("front-1", "alexandria-a", "alexandria"),
            node("front-2", "cairo-a", "cairo"),
        )
        sources = ViewSources(
            configuration=read_configuration(json.dumps(document).encode()).ok,
            nodes=nodes,
            drained_zones=drained_zones,
            replicas=(),
        )
        context = ProcessContext("front-1", "i", Random(1), Identifiers())
        self.component = OnceOnlyComponent(context, FakeLink(), AttemptTable("front-1", "i"))
        view = build_routing_view("front-1", "alexandria-a", "alexandria", sources)
        self.component.handle(RoutingViewChanged(view), 0.0)

    def head(self, headers: dict, body: bytes = b"") -> list:
        event = ev.HttpRequestArrived(1, "POST", "/v1/once", {}, headers, body, True)
        return self.component.handle(event, 0.0)

    def body(self, data: bytes) -> list:
        self.head(HEADERS)
        return self.component.handle(ev.HttpRequestBody(1, data), 0.0)


class HeadTest(unittest.TestCase):
    def test_inside_home_the_body_is_read(self) -> None:
        self.assertEqual(Front(["alexandria"]).head(HEADERS), [fx.ReadRequestBody(1)])
        self.assertEqual(Front([]).head(HEADERS), [fx.ReadRequestBody(1)])

    def test_outside_home_redirected_from_the_headers(self) -> None:
        answer = Front(["cairo"]).head(HEADERS)[0]
        self.assertEqual(
            (answer.status, answer.headers["Location"]), (307, "http://front-2:2/v1/once")
        )
        self.assertEqual(json.loads(answer.body)["error"]["code"], "go_elsewhere")

    def test_without_a_front_in_home_it_is_refused(self) -> None:
        front = Front(["cairo"], drained_zones=frozenset({"cairo-a"}))
        answer = front.head(HEADERS)[0]
        self.assertEqual((answer.status, json.loads(answer.body)["outcome"]), (504, "unknown"))
        first = front.head({**HEADERS, "x-rooklug-attempt": "1"})[0]
        self.assertEqual((first.status, json.loads(first.body)["outcome"]), (503, "not_run"))
        self.assertEqual(first.headers["Retry-After"], "1")

    def test_draining_front_redirects(self) -> None:
        self.assertEqual(Front([], frozenset({"alexandria-a"})).head(HEADERS)[0].status, 307)
        front = Front([])
        front.component.handle(DrainingStarted(), 0.0)
        self.assertEqual(front.head(HEADERS)[0].status, 307)

    def test_invalid_headers_are_rejected(self) -> None:
        cases = [
            ({"x-rooklug-route": "payslip-lookup"}, 400),
            ({**HEADERS, "x-rooklug-key": "k" * 201}, 400),
            ({**HEADERS, "x-rooklug-key": "k\x01"}, 400),
            ({**HEADERS, "x-rooklug-deadline-ms": "-5"}, 400),
            ({**HEADERS, "x-rooklug-request-id": "é"}, 400),
            ({**HEADERS, "x-rooklug-route": "payslip-notes"}, 404),
            ({**HEADERS, "x-rooklug-route": "other"}, 404),
        ]
        for headers, status in cases:
            answer = Front([]).head(headers)[0]
            self.assertEqual(answer.status, status, headers)
            self.assertNotIn("outcome", json.loads(answer.body))

    def test_invalid_bodies_are_rejected(self) -> None:
        deep = b"[" * (MAX_JSON_DEPTH + 1) + b"]" * (MAX_JSON_DEPTH + 1)
        for data in (b"", b"{", b"[NaN]", b"\xff", deep):
            self.assertEqual(Front([]).body(data)[0].status, 400, data)

    def test_nothing_is_written_before_the_claim(self) -> None:
        effects = Front([]).body(b'{"id": 90071992547409931234}')
        self.assertFalse([e for e in effects if not isinstance(e, fx.StartTimer)])

    def test_before_the_first_configuration(self) -> None:
        context = ProcessContext("front-1", "i", Random(1), Identifiers())
        component = OnceOnlyComponent(context, FakeLink(), AttemptTable("front-1", "i"))
        event = ev.HttpRequestArrived(1, "POST", "/v1/once", {}, HEADERS, b"", True)
        self.assertEqual(component.handle(event, 0.0)[0].status, 504)


def claim(key: int, sequence: int = 1, attempt: int = 1, counter: int = 1) -> claims.ClaimRecord:
    digest = key.to_bytes(16, "big")
    return claims.ClaimRecord(digest, 1, counter, sequence, "front-1", "i", attempt, "front-2")


class MemoryTest(unittest.TestCase):
    def test_results_are_evicted_before_outcomes(self) -> None:
        memory = OutcomeMemory()
        with (
            patch.object(outcome_memory, "MAX_STORED_RESULT_BYTES", 10),
            patch.object(outcome_memory, "MAX_OUTCOMES", 3),
        ):
            for key in range(5):
                memory.put(Outcome(0, claim(key), b"p", AttemptState.DONE, b"12345"))
        self.assertEqual(len(memory), 3)
        states = [memory.status(claim(key), b"p") for key in range(5)]
        self.assertEqual([s.state for s in states], ["unknown"] * 2 + ["done"] * 3)
        self.assertEqual([s.result for s in states], [b"", b"", b"", b"12345", b"12345"])

    def test_result_above_size_limit_is_not_stored(self) -> None:
        memory = OutcomeMemory()
        result = b"1" * (limits.MAX_RESULT_BYTES + 1)
        memory.put(Outcome(0, claim(1), b"p", AttemptState.DONE, result))
        self.assertEqual(memory.status(claim(1), b"p").result, b"")

    def test_table_keeps_the_newest_claims(self) -> None:
        table = ShardTable()
        with patch.object(shard_table, "MAX_CLAIMS_PER_SHARD", 3):
            table.merge(claim(key, sequence=key) for key in range(5))
            table.put(claim(9, sequence=9))
        found = [table.find(key.to_bytes(16, "big")) is not None for key in range(10)]
        self.assertEqual([key for key in range(10) if found[key]], [3, 4, 9])

    def test_merge_keeps_the_higher_claim_of_a_key(self) -> None:
        table = ShardTable()
        table.merge([claim(1, 5, counter=1), claim(1, 2, counter=2), claim(1, 7, counter=1)])
        self.assertEqual(table.find((1).to_bytes(16, "big")).claim, claim(1, 2, counter=2))


_ENTRIES = st.one_of(
    st.builds(fence_entry, st.just(1), st.builds(wire.VersionMark, st.integers(0, 3), st.just(1))),
    st.builds(intact_entry, st.just(1)),
    st.builds(
        lambda key, sequence: claim_entry(1, encode(claim(key, sequence))),
        st.integers(0, 6),
        st.integers(0, 5),
    ),
)


class StoreFileTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(st.lists(_ENTRIES, max_size=40))
    def test_rewritten_file_restores_the_same_state(self, entries: list) -> None:
        """The oracle keeps the highest claim that was written for each key."""
        shard, oracle = StoredShard(), {}
        for entry in entries:
            shard.apply(entry)
            if entry.claim is not None:
                record = store_state.decode(claims.ClaimRecord, entry.claim).ok
                before = oracle.get(record.key_digest, -1)
                oracle[record.key_digest] = max(before, record.sequence)
        again = load_shard(1, tuple(shard.entries(1)))
        self.assertEqual(again, shard)
        kept = {
            key: store_state.decode(claims.ClaimRecord, encoded).ok.sequence
            for key, encoded in again.claims.items()
        }
        self.assertEqual(kept, oracle)
        self.assertIsNone(load_shard(2, tuple(shard.entries(1))))

    def store(self, records: tuple = (), problem: str = "") -> tuple[ClaimStore, list]:
        context = ProcessContext("core-1", "incarnation", Random(1), Identifiers())
        store = ClaimStore(context)
        started = ev.Started({claims_file(1): records}, "disk", problem)
        return store, store.handle(started, 0.0)

    def call(self, store: ClaimStore, request: object) -> object:
        """Return the store's answer to a call, which must wait for the write if there is one."""
        effects = store.handle(ev.CallArrived(7, "front-1", request), 0.0)
        for effect in effects:
            if isinstance(effect, fx.WriteRecords):
                self.assertFalse([e for e in effects if isinstance(e, fx.Answer)])
                effects = store.handle(ev.WriteFinished(effect.ticket, 0.0), 0.0)
        return effects[0].answer

    def test_unusable_file_is_not_intact(self) -> None:
        good = (encode(claim_entry(1, encode(claim(1)))), encode(intact_entry(1)))
        token = wire.VersionMark(1, 1)
        request = claims.ReadClaimsRequest(1, token)
        for records, problem, intact in (
            (good, "", True),
            (good, "damaged", False),
            ((*good, b"garbage"), "", False),
            ((), "blank", False),
        ):
            store, _ = self.store(records, problem)
            answer = self.call(store, request)
            self.assertEqual((answer.intact, len(answer.claims)), (intact, int(intact)))

    def test_failed_write_makes_the_store_not_intact(self) -> None:
        good = (encode(intact_entry(1)),)
        store, _ = self.store(good)
        token = wire.VersionMark(1, 1)
        request = claims.RecordClaimsRequest(1, token, [encode(claim(1))])
        effects = store.handle(ev.CallArrived(7, "front-1", request), 0.0)
        effects = store.handle(ev.WriteFailed(effects[0].ticket, "no space"), 0.0)
        self.assertFalse(effects[-1].answer.recorded)
        self.assertFalse(self.call(store, claims.ReadClaimsRequest(1, token)).intact)

    def test_restore_for_another_incarnation_is_refused(self) -> None:
        store, _ = self.store()
        token = wire.VersionMark(1, 1)
        late = claims.RestoreClaimsRequest(1, token, "another incarnation", [])
        self.assertFalse(self.call(store, late).recorded)
        right = claims.RestoreClaimsRequest(1, token, "incarnation", [encode(claim(1))])
        self.assertTrue(self.call(store, right).recorded)
        self.assertTrue(self.call(store, claims.ReadClaimsRequest(1, token)).intact)

    def test_a_long_file_is_rewritten(self) -> None:
        store, _ = self.store((encode(intact_entry(1)),))
        token = wire.VersionMark(1, 1)
        with patch("rooklug.front.once_only.claim_store._REWRITE_AFTER_ENTRIES", 10):
            effects = []
            for sequence in range(1, 8):
                request = claims.RecordClaimsRequest(1, token, [encode(claim(1, sequence))])
                effects += store.handle(ev.CallArrived(7, "front-1", request), 0.0)
        rewrites = [effect for effect in effects if isinstance(effect, fx.RewriteFile)]
        self.assertEqual([len(rewrite.records) for rewrite in rewrites], [3])
