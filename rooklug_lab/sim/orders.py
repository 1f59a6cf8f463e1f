"""Configuration changes of simulated operators, and the document that each must give."""

import hashlib
import json

from rooklug.config.patching import apply_merge_patch
from rooklug_lab.sim.process import SimulatedProcess
from rooklug_lab.standins.records import ChangeRecord, OperatorJournal, Outcome
from rooklug_lab.standins.settings import OperatorStep

INVALID_PATCH = b'{"limits": {"retry_share": -1}}'


class OrderBook:
    """Creates changes and computes the configuration documents that result from them."""

    def __init__(self, first_document: bytes) -> None:
        self.next_version = 1
        self.document = first_document
        self._patches = 0
        self._patch_bodies: dict[str, bytes] = {}

    def put_first(self) -> OperatorStep:
        """Return the order that puts the first document, as version 1."""
        self.next_version = 2
        return OperatorStep(0.0, "put", 1, self.document)

    def patch(self, version: int, invalid: bool = False) -> OperatorStep:
        """Return a small patch for ``version`` that differs from all others.

        An ``invalid`` one must be rejected by the control plane.
        """
        self._patches += 1
        wait_s = 2.0 + self._patches / 1000
        body = json.dumps({"limits": {"queue_wait_s": wait_s}}).encode()
        body = INVALID_PATCH if invalid else body
        self._patch_bodies[hashlib.sha256(body).hexdigest()] = body
        return OperatorStep(0.0, "patch", version, body)

    def expected_documents(self, journals: list[OperatorJournal]) -> dict[str, bytes]:
        """Return, by digest of an acknowledged order, the document that it must have given.

        Stops at the first gap in the versions: later documents can't be computed.
        """
        changes = [change for journal in journals for change in journal.changes]
        done = sorted(
            (change for change in changes if change.outcome is Outcome.DONE and change.version),
            key=lambda change: change.version,
        )
        expected: dict[str, bytes] = {}
        version, document = 0, b""
        for change in done:
            if change.kind == "put":
                version, document = change.version, self.document
            elif change.version == version + 1:
                version, document = change.version, self._patched(document, change)
            else:
                return expected
            expected[change.digest] = document
        return expected

    def _patched(self, document: bytes, change: ChangeRecord) -> bytes:
        return apply_merge_patch(document, self._patch_bodies[change.digest]).ok


def send(process: SimulatedProcess, step: OperatorStep) -> None:
    """Make an operator's process send an order at the current virtual time."""
    process.act(lambda operator, now: operator.order(step, now))
