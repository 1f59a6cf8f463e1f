"""What must hold of three cores under faults, judged from answers, notices and commits."""

import argparse
import hashlib
from random import Random

import attrs

from rooklug.engine import events as ev
from rooklug.model import notices
from rooklug.wire.codec import encode
from rooklug.wire.generated.control import ttypes as control
from tests.core_cluster import CORE_IDS, INVALID, LATER_IDS, Cluster, Core

FINAL = {"accepted", "conflict", "invalid", "unavailable", "not_primary"}


class PromiseBroken(AssertionError):
    """The oracle has caught a broken promise."""


def digest_of(body: bytes) -> str:
    return hashlib.sha256(body).hexdigest()


@attrs.define(eq=False)
class Order:
    """One change an operator wants, with everything that was answered to its sendings."""

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
    """Watches every event of a cluster; raises ``PromiseBroken``."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.orders: list[Order] = []
        self.acknowledged: dict[int, str] = {}
        self.committed: dict[int, bytes] = {}
        self.documents: dict[int, str] = {}
        self._checked: dict[tuple[str, int], int] = {}
        self._noticed: dict[tuple[str, int], tuple[int, tuple[int, int]]] = {}
        self.reads = 0
        cluster.after_event = self.after_event

    def check(self, holds: bool, message: str) -> None:
        if not holds:
            raise PromiseBroken(f"at {self.cluster.now:.3f}: {message}")

    def after_event(self, core: Core) -> None:
        self._check_commits(core)
        self._check_notices(core)
        self._check_one_primary()

    def _check_commits(self, core: Core) -> None:
        """The committed sequence is the same at every core, at any time."""
        store = core.part.store
        key = (core.core_id, core.life)
        done = self._checked.get(key, store.log.base.sequence)
        for entry in store.log.between(max(done, store.log.base.sequence), store.committed):
            data = encode(entry)
            known = self.committed.setdefault(entry.sequence, data)
            self.check(known == data, f"two entries committed as {entry.sequence}")
        self._checked[key] = max(done, store.committed)

    def _check_notices(self, core: Core) -> None:
        """No core announces an older configuration after a newer, nor two under one version."""
        key = (core.core_id, core.life)
        done, newest = self._noticed.get(key, (0, (0, 0)))
        seen = core.recorder.seen
        for _, notice in seen[done:]:
            if isinstance(notice, notices.ConfigurationCommitted):
                mark = (notice.mark.epoch, notice.mark.counter)
                self.check(mark > newest, f"{core.core_id} slides back to {mark}")
                newest = mark
                digest = digest_of(notice.body.document)
                self.check(digest == notice.body.digest, "the digest isn't the document's")
                known = self.documents.setdefault(notice.body.version, digest)
                self.check(known == digest, f"two documents as version {notice.body.version}")
        self._noticed[key] = (len(seen), newest)

    def _check_one_primary(self) -> None:
        now = self.cluster.now
        serving = [
            core.core_id
            for core in self.cluster.cores.values()
            if core.alive and not core.frozen and core.part.leader.may_serve(now)
        ]
        self.check(len(serving) <= 1, f"two primaries serve: {serving}")

    # operators --------------------------------------------------------------

    def send(self, order: Order, core_id: str) -> None:
        order.sent += 1
        if order not in self.orders:
            self.orders.append(order)
        self.cluster.request(core_id, order.request(), lambda answer: self._answered(order, answer))

    def _answered(self, order: Order, answer: control.SubmitChangeAnswer) -> None:
        order.answers.append(answer)
        digest = digest_of(order.body)
        if answer.outcome == "accepted":
            known = self.acknowledged.setdefault(order.version, digest)
            self.check(known == digest, f"two winners of version {order.version}")
            self.check(not order.body.startswith(INVALID), "an invalid document was taken")
        if answer.outcome == "conflict":
            self.check(not order.accepted, f"version {order.version}: refused after accepted")
            self.check(answer.digest != digest, "a conflict that names the loser as winner")

    def read(self, core_id: str) -> None:
        """A linearizable read is at least as new as what was acknowledged before it."""
        least = max(self.acknowledged, default=0)

        def answered(answer: control.ReadConfigurationAnswer) -> None:
            if not answer.ok:
                return
            self.reads += 1
            body = answer.configuration
            self.check(body.version >= least, f"read {body.version} after {least} was taken")
            self.check(digest_of(body.document) == body.digest or not body.version, "digest")

        request = control.ReadConfigurationRequest(linearizable=True)
        self.cluster.request(core_id, request, answered)

    # the end ------------------------------------------------------------------

    def finish(self) -> None:
        """Heal everything; then every acknowledged change must be there, exactly once."""
        cluster = self.cluster
        cluster.heal()
        for core in cluster.cores.values():
            core.disk.stalled_until = 0.0
            if core.frozen:
                cluster.thaw(core.core_id)
            if not core.alive:
                cluster.start(core.core_id)

        def whole() -> bool:
            primary = cluster.primary()
            if primary is None:
                return False
            view = primary.part.leader.view
            in_sync = {disk.core_id for disk in view.in_sync}
            everybody = in_sync == view.member_ids <= set(cluster.cores)
            return everybody and len(in_sync) == cluster.size and not view.previous

        self.check(cluster.run(cluster.now + 120.0, whole), "no whole view after healing")
        self._check_table(cluster.primary())
        self._check_resent()

    def _check_table(self, primary: Core) -> None:
        table = {v: d.hex() for v, d in primary.part.store.state.changes.items()}
        for version, digest in sorted(self.acknowledged.items()):
            self.check(table.get(version) == digest, f"acknowledged {version} is lost")
        for order in self.orders:
            taken = table.get(order.version) == digest_of(order.body)
            outcomes = {answer.outcome for answer in order.answers}
            certain = len(order.answers) == order.sent and outcomes <= FINAL - {"accepted"}
            self.check(not (certain and taken), f"{order.version} is taken but was {outcomes}")

    def _check_resent(self) -> None:
        for version, digest in sorted(self.acknowledged.items()):
            order = next(
                o for o in self.orders if o.version == version and digest_of(o.body) == digest
            )
            answer = self._resend(order)
            again = answer is not None and answer.outcome == "accepted" and answer.repeated
            self.check(again, f"{version} sent again: {answer}")

    def _resend(self, order: Order) -> control.SubmitChangeAnswer | None:
        """Send as an operator does: to the primary, again after an answer that isn't final."""
        cluster = self.cluster
        for _ in range(10):
            answers: list[control.SubmitChangeAnswer] = []
            cluster.run(cluster.now + 60.0, lambda: cluster.primary() is not None)
            if cluster.primary() is None:
                return None
            cluster.request(cluster.primary().core_id, order.request(), answers.append)
            cluster.run(cluster.now + 5.0, lambda answers=answers: bool(answers))
            if answers and answers[0].outcome not in ("not_primary", "unknown", "unavailable"):
                return answers[0]
        return None


class Operators:
    """Two operators who race on versions, patch, send again, and sometimes send rubbish."""

    def __init__(self, oracle: Oracle, random: Random, name: str, interval: float = 0.15) -> None:
        self.oracle = oracle
        self.name = name
        self.random = random
        self.interval = interval
        self.active = True
        self.count = 0
        self.hint = CORE_IDS[0]

    def begin(self) -> None:
        self.oracle.cluster.at(self.random.uniform(0, 2 * self.interval), self._act)

    def _act(self) -> None:
        if not self.active:
            return
        self.begin()
        if self.random.random() < 0.2:
            self.oracle.read(self._target())
        open_orders = [o for o in self.oracle.orders[-20:] if not o.accepted]
        if open_orders and self.random.random() < 0.35:
            self._send(self.random.choice(open_orders))
        else:
            self._send(self._new_order())

    def _new_order(self) -> Order:
        self.count += 1
        newest = max(self.oracle.acknowledged, default=0)
        version = newest + self.random.choice((1, 1, 1, 2, 0))
        body = b'{"%s":%d}' % (self.name.encode(), self.count)
        patch = self.random.random() < 0.3
        if not patch and self.random.random() < 0.1:
            body = INVALID + body
        return Order(max(version, 1), body, newest if patch else None)

    def _send(self, order: Order) -> None:
        self.oracle.send(order, self._target())

    def _target(self) -> str:
        primary = self.oracle.cluster.primary()
        if primary is not None and self.random.random() < 0.85:
            return primary.core_id
        return self.random.choice(list(self.oracle.cluster.cores))


class Faults:
    """Seeded faults: crashes, freezes, stalled disks, cuts, loss; a disk is lost only if
    both others hold everything in sync at that moment."""

    def __init__(self, cluster: Cluster, random: Random, mean_s: float = 2.0) -> None:
        self.cluster = cluster
        self.random = random
        self.mean_s = mean_s
        self.active = True
        self.counts: dict[str, int] = {}

    def begin(self) -> None:
        self.cluster.at(self.random.expovariate(1 / self.mean_s), self._act)

    def _act(self) -> None:
        if not self.active:
            return
        self.begin()
        kinds = (
            self._crash,
            self._crash,
            self._freeze,
            self._stall,
            self._isolate,
            self._one_way,
            self._loss,
            self._power_cut,
            self._lose_disk,
        )
        self.random.choice(kinds)(self.random.choice(list(self.cluster.cores)))

    def _count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    def _crash(self, core_id: str) -> None:
        if self._is_alive(core_id):
            self._count("crash")
            self.cluster.crash(core_id)
            self.cluster.at(self.random.uniform(0.01, 4.0), lambda: self._restart(core_id))

    def _power_cut(self, core_id: str) -> None:
        """Two cores stop at once, while one or both were still writing."""
        self._count("power cut")
        other = self.random.choice([other for other in self.cluster.cores if other != core_id])
        delay = self.random.uniform(0.05, 0.9)
        for stopped in (core_id, other):
            disk = self.cluster.cores[stopped].disk
            if self.random.random() < 0.7:
                disk.stalled_until = self.cluster.now + delay + 0.1
            self.cluster.at(delay, lambda stopped=stopped: self._crash(stopped))

    def _restart(self, core_id: str) -> None:
        if core_id in self.cluster.cores and not self._is_alive(core_id):
            self.cluster.start(core_id)

    def _is_alive(self, core_id: str) -> bool:
        core = self.cluster.cores.get(core_id)
        return core is not None and core.alive

    def _freeze(self, core_id: str) -> None:
        core = self.cluster.cores[core_id]
        if core.alive and not core.frozen:
            self._count("freeze")
            life = core.life
            self.cluster.freeze(core_id)
            self.cluster.at(self.random.uniform(0.5, 20.0), lambda: self._thaw(core_id, life))

    def _thaw(self, core_id: str, life: int) -> None:
        core = self.cluster.cores.get(core_id)
        if core is not None and core.life == life:
            self.cluster.thaw(core_id)

    def _stall(self, core_id: str) -> None:
        self._count("stall")
        disk = self.cluster.cores[core_id].disk
        disk.stalled_until = self.cluster.now + self.random.uniform(0.3, 5.0)

    def _isolate(self, core_id: str) -> None:
        self._count("isolate")
        self.cluster.isolate(core_id)
        self.cluster.at(self.random.uniform(0.5, 8.0), self.cluster.cuts.clear)

    def _one_way(self, core_id: str) -> None:
        self._count("one way")
        others = [other for other in self.cluster.cores if other != core_id]
        self.cluster.cut(core_id, self.random.choice(others))
        self.cluster.at(self.random.uniform(0.5, 8.0), self.cluster.cuts.clear)

    def _loss(self, core_id: str) -> None:
        self._count("loss")
        self.cluster.drop = 0.15

        def end() -> None:
            self.cluster.drop = 0.0

        self.cluster.at(self.random.uniform(0.5, 5.0), end)

    def _lose_disk(self, core_id: str) -> None:
        if self._all_in_sync() and self.cluster.cores[core_id].alive:
            self._count("lost disk")
            self.cluster.crash(core_id)
            self.cluster.lose_disk(core_id)
            self.cluster.at(self.random.uniform(0.01, 4.0), lambda: self._restart(core_id))

    def _all_in_sync(self) -> bool:
        primary = self.cluster.primary()
        cores = [
            core
            for core in self.cluster.cores.values()
            if primary is not None and core.core_id in primary.part.peers.members
        ]
        if primary is None or not all(core.alive for core in cores):
            return False
        view = primary.part.leader.view
        current = {core.part.witness.state.own for core in cores}
        voting = all(core.part.witness.state.voting for core in cores)
        everybody = len(view.in_sync) == len(view.member_ids) == self.cluster.size
        return voting and set(view.in_sync) <= current and everybody and not view.previous


class Replacements(Faults):
    """Also machines that are gone for good, and new ones at other addresses.

    At most one machine is away for good at a time, and only while all others hold everything:
    that is what the system is asked to bear.
    """

    def __init__(self, cluster: Cluster, random: Random, mean_s: float = 2.0) -> None:
        super().__init__(cluster, random, mean_s)
        self._names = iter(LATER_IDS)

    def _power_cut(self, core_id: str) -> None:
        """In the place of a cut of two machines: one is replaced."""
        if not self._all_in_sync() or core_id not in self.cluster.primary().part.peers.members:
            return
        new_id = next(self._names, "")
        if not new_id:
            return
        if self.random.random() < 0.5:
            self._count("replaced")
            self.cluster.replace(core_id, new_id)
        else:
            self._count("replaced as planned")
            self.cluster.add(new_id)
            self.cluster.at(self.random.uniform(0.5, 3.0), lambda: self._leave(core_id))

    def _leave(self, core_id: str) -> None:
        """The old machine gets SIGTERM, and is gone a moment later; after other losses."""
        if core_id not in self.cluster.cores:
            return
        if not self._all_in_sync():
            self.cluster.at(0.5, lambda: self._leave(core_id))
            return
        self.cluster.deliver(core_id, ev.StopRequested())
        self.cluster.at(0.6, lambda: self._remove(core_id))

    def _remove(self, core_id: str) -> None:
        if core_id not in self.cluster.cores:
            return
        if self._is_alive(core_id):
            self.cluster.crash(core_id)
        self.cluster.remove(core_id)


def run_seed(
    seed: int,
    seconds: float = 40.0,
    mean_s: float = 2.0,
    kind: type[Faults] = Faults,
    core_ids: tuple[str, ...] = CORE_IDS,
    minimum_copies: int = 2,
) -> tuple[Oracle, Faults]:
    """Run one seeded history and judge it; the oracle raises on a broken promise."""
    cluster = Cluster(seed, core_ids=core_ids, minimum_copies=minimum_copies)
    cluster.late = 0.01
    oracle = Oracle(cluster)
    random = Random(seed)
    operators = [Operators(oracle, random, name) for name in ("amal", "berit")]
    faults = kind(cluster, random, mean_s)
    cluster.start_all()
    for source in (*operators, faults):
        source.begin()
    cluster.run(seconds)
    for source in (*operators, faults):
        source.active = False
    cluster.run(cluster.now + 1.0)
    oracle.finish()
    return oracle, faults


def main() -> None:
    """Run many seeds, and print each that breaks a promise."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    options = parser.parse_args()
    broken, acknowledged = 0, 0
    for seed in range(options.first, options.last + 1):
        try:
            oracle, _ = run_seed(seed)
            acknowledged += len(oracle.acknowledged)
        except PromiseBroken as problem:
            broken += 1
            print(f"seed {seed}: {problem}")
    seeds = options.last + 1 - options.first
    print(f"{seeds} seeds, {acknowledged} changes acknowledged, {broken} seeds broke a promise")


if __name__ == "__main__":
    main()
