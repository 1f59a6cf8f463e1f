"""Checks the guarantees of a cluster under faults from its answers, events and commits."""

import hashlib
from random import Random

import attrs

from rooklug.model import internal_events as internal
from rooklug.wire.codec import encode
from rooklug.wire.generated.control import ttypes as control
from tests.core_cluster import Cluster
from tests.core_machine import CORE_IDS, INVALID, Core

FINAL_OUTCOMES = {"accepted", "conflict", "invalid", "unavailable", "not_primary"}


class BrokenGuaranteeError(AssertionError):
    """The oracle has found a broken guarantee."""


def digest_of(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


@attrs.define(eq=False)
class OperatorChange:
    """A change that an operator submits, possibly several times, and all answers to it."""

    version: int
    body: bytes
    base: int | None
    sent: int = 0
    answers: list[control.SubmitChangeAnswer] = attrs.field(factory=list)

    def request(self) -> control.SubmitChangeRequest:
        return control.SubmitChangeRequest(
            version=self.version,
            digest=digest_of(self.body),
            body=self.body,
            is_patch=self.base is not None,
            base_version=self.base or 0,
        )

    @property
    def accepted(self) -> bool:
        return any(answer.outcome == "accepted" for answer in self.answers)


class Oracle:
    """Checks the cluster after each of its events; raises ``BrokenGuaranteeError``."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.changes: list[OperatorChange] = []
        self.acknowledged: dict[int, str] = {}
        self.committed: dict[int, bytes] = {}
        self.documents: dict[int, str] = {}
        self._checked: dict[tuple[str, int], int] = {}
        self._announced: dict[tuple[str, int], tuple[int, tuple[int, int]]] = {}
        self.reads = 0
        self.newest_reported = 0  # the newest version that a conflict was answered with
        cluster.after_event = self.after_event

    def check(self, holds: bool, message: str) -> None:
        if not holds:
            raise BrokenGuaranteeError(f"at {self.cluster.now:.3f}: {message}")

    def after_event(self, core: Core) -> None:
        self._check_commits(core)
        self._check_events(core)
        self._check_one_primary()

    def _check_commits(self, core: Core) -> None:
        """Every core commits the same entries, at any time."""
        store = core.component.store
        key = (core.core_id, core.incarnation)
        checked = self._checked.get(key, store.log.base.sequence)
        for entry in store.log.between(max(checked, store.log.base.sequence), store.committed):
            data = encode(entry)
            known = self.committed.setdefault(entry.sequence, data)
            self.check(known == data, f"two entries committed with sequence {entry.sequence}")
        self._checked[key] = max(checked, store.committed)

    def _check_events(self, core: Core) -> None:
        """No core announces an older configuration after a newer one, or two for one version."""
        key = (core.core_id, core.incarnation)
        checked, newest = self._announced.get(key, (0, (0, 0)))
        seen = core.recorder.seen
        for _, event in seen[checked:]:
            if isinstance(event, internal.ConfigurationCommitted):
                mark = (event.version.epoch, event.version.counter)
                self.check(mark > newest, f"{core.core_id} announced the older version {mark}")
                newest = mark
                digest = digest_of(event.body.document)
                self.check(
                    digest == event.body.digest, "announced digest doesn't match the document"
                )
                known = self.documents.setdefault(event.body.version, digest)
                self.check(
                    known == digest, f"two documents announced for version {event.body.version}"
                )
        self._announced[key] = (len(seen), newest)

    def _check_one_primary(self) -> None:
        now = self.cluster.now
        serving = [
            core.core_id
            for core in self.cluster.cores.values()
            if core.alive and not core.frozen and core.component.primary.may_serve(now)
        ]
        self.check(len(serving) <= 1, f"several primaries serve at once: {serving}")

    # operators --------------------------------------------------------------

    def send(self, change: OperatorChange, core_id: str) -> None:
        change.sent += 1
        if change not in self.changes:
            self.changes.append(change)
        self.cluster.request(
            core_id, change.request(), lambda answer: self._answered(change, answer)
        )

    def _answered(self, change: OperatorChange, answer: control.SubmitChangeAnswer) -> None:
        change.answers.append(answer)
        digest = digest_of(change.body)
        if answer.outcome == "accepted":
            known = self.acknowledged.setdefault(change.version, digest)
            self.check(known == digest, f"two changes accepted for version {change.version}")
            self.check(not change.body.startswith(INVALID), "an invalid document was accepted")
        if answer.outcome == "conflict":
            self.newest_reported = max(self.newest_reported, answer.version)
            self.check(
                not change.accepted,
                f"version {change.version} answered as a conflict after it was accepted",
            )
            self.check(
                answer.digest != digest,
                "the answer to a conflict has the digest of the rejected change",
            )

    def read(self, core_id: str) -> None:
        """Send a linearizable read; it must return every change acknowledged before it."""
        least = max(self.acknowledged, default=0)

        def answered(answer: control.ReadConfigurationAnswer) -> None:
            if not answer.ok:
                return
            self.reads += 1
            body = answer.configuration
            self.check(
                body.version >= least, f"read version {body.version} after {least} was acknowledged"
            )
            self.check(
                digest_of(body.document) == body.digest or not body.version,
                "digest read doesn't match the document",
            )

        request = control.ReadConfigurationRequest(linearizable=True)
        self.cluster.request(core_id, request, answered)

    # the end ------------------------------------------------------------------

    def finish(self) -> None:
        """End all faults; then every acknowledged change must be present, exactly once."""
        cluster = self.cluster
        cluster.heal()
        for core in cluster.cores.values():
            core.disk.stalled_until = 0.0
            if core.frozen:
                cluster.unfreeze(core.core_id)
            if not core.alive:
                cluster.start(core.core_id)

        def all_in_sync() -> bool:
            primary = cluster.primary()
            if primary is None:
                return False
            view = primary.component.primary.view
            in_sync = {disk.core_id for disk in view.in_sync}
            everybody = in_sync == view.member_ids <= set(cluster.cores)
            return everybody and len(in_sync) == cluster.size and not view.previous

        self.check(
            cluster.run(cluster.now + 120.0, all_in_sync),
            "not all cores came in sync after the faults had ended",
        )
        self._check_accepted_changes(cluster.primary())
        self._check_resent()

    def _check_accepted_changes(self, primary: Core) -> None:
        accepted_changes = {v: d.hex() for v, d in primary.component.store.state.changes.items()}
        for version, digest in sorted(self.acknowledged.items()):
            self.check(
                accepted_changes.get(version) == digest, f"acknowledged version {version} is lost"
            )
        for change in self.changes:
            taken = accepted_changes.get(change.version) == digest_of(change.body)
            outcomes = {answer.outcome for answer in change.answers}
            certain = len(change.answers) == change.sent and outcomes <= FINAL_OUTCOMES - {
                "accepted"
            }
            self.check(
                not (certain and taken),
                f"{change.version} is committed but was answered {outcomes}",
            )

    def _check_resent(self) -> None:
        for version, digest in sorted(self.acknowledged.items()):
            change = next(
                o for o in self.changes if o.version == version and digest_of(o.body) == digest
            )
            answer = self._resend(change)
            again = answer is not None and answer.outcome == "accepted" and answer.repeated
            self.check(again, f"{version} sent again, but not answered as repeated: {answer}")

    def _resend(self, change: OperatorChange) -> control.SubmitChangeAnswer | None:
        """Send a change to the primary until an answer is final; return that answer, if any."""
        cluster = self.cluster
        for _ in range(10):
            answers: list[control.SubmitChangeAnswer] = []
            cluster.run(cluster.now + 60.0, lambda: cluster.primary() is not None)
            if cluster.primary() is None:
                return None
            cluster.request(cluster.primary().core_id, change.request(), answers.append)
            cluster.run(cluster.now + 5.0, lambda answers=answers: bool(answers))
            if answers and answers[0].outcome not in ("not_primary", "unknown", "unavailable"):
                return answers[0]
        return None


class Operator:
    """An operator who competes for versions, patches, retries, and sends invalid documents."""

    def __init__(self, oracle: Oracle, random: Random, name: str, interval: float = 0.15) -> None:
        self.oracle = oracle
        self.name = name
        self.random = random
        self.interval = interval
        self.active = True
        self.count = 0
        self.hint = CORE_IDS[0]

    def begin(self) -> None:
        self.oracle.cluster.schedule(self.random.uniform(0, 2 * self.interval), self._act)

    def _act(self) -> None:
        if not self.active:
            return
        self.begin()
        if self.random.random() < 0.2:
            self.oracle.read(self._target())
        open_changes = [o for o in self.oracle.changes[-20:] if not o.accepted]
        if open_changes and self.random.random() < 0.35:
            self._send(self.random.choice(open_changes))
        else:
            self._send(self._new_change())

    def _new_change(self) -> OperatorChange:
        self.count += 1
        newest = max(max(self.oracle.acknowledged, default=0), self.oracle.newest_reported)
        version = newest + self.random.choice((1, 1, 1, 2, 0))
        body = b'{"%s":%d}' % (self.name.encode(), self.count)
        patch = self.random.random() < 0.3
        if not patch and self.random.random() < 0.1:
            body = INVALID + body
        return OperatorChange(max(version, 1), body, newest if patch else None)

    def _send(self, change: OperatorChange) -> None:
        self.oracle.send(change, self._target())

    def _target(self) -> str:
        primary = self.oracle.cluster.primary()
        if primary is not None and self.random.random() < 0.85:
            return primary.core_id
        return self.random.choice(list(self.oracle.cluster.cores))
