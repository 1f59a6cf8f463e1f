"""Promises about the operators' configuration."""

from collections import defaultdict

from rooklug_lab.oracles.evidence import END_OF_RUN_S, Evidence, Violation
from rooklug_lab.standins.records import ChangeRecord, FrontVersion, Outcome

LAG_LIMIT_S = 3.0
OBSERVATION_TOLERANCE_S = 0.3
RECONNECT_GRACE_S = 5.0
FAILOVER_GRACE_S = 6.0
CONFLICT_STATUS = 409
CONFIGURATION_KINDS = ("put", "patch")


def acknowledged_changes(evidence: Evidence) -> list[ChangeRecord]:
    """Return acknowledged configuration changes, oldest acknowledgement first."""
    changes = [
        change
        for operator in evidence.operators
        for change in operator.changes
        if change.kind in CONFIGURATION_KINDS and change.outcome is Outcome.DONE
    ]
    return sorted(changes, key=lambda change: change.acknowledged_s)


def _observations(evidence: Evidence) -> dict[str, list[FrontVersion]]:
    by_front = defaultdict(list)
    for operator in evidence.operators:
        for seen in operator.versions:
            by_front[seen.front_address].append(seen)
    return {front: sorted(seen, key=lambda one: one.at_s) for front, seen in by_front.items()}


def _is_excused(evidence: Evidence, front_address: str, at_s: float) -> bool:
    """A front that is down, cut off or frozen, or was until just now, isn't connected.

    After a fault of a core nobody is connected until the failover is over, and no longer.
    """
    name = evidence.name_of_front.get(front_address, front_address)
    for fault in evidence.faults:
        if fault.target in (name, "all"):
            until = fault.ended_s + RECONNECT_GRACE_S
        elif fault.kind.startswith("core"):
            until = fault.started_s + FAILOVER_GRACE_S
        else:
            continue
        if fault.started_s - LAG_LIMIT_S - OBSERVATION_TOLERANCE_S <= at_s <= until:
            return True
    return False


def _version_at(observations: list[FrontVersion], at_s: float) -> int:
    """Return the version last seen at ``at_s`` (-1: none, or the front didn't answer)."""
    version = -1
    for seen in observations:
        if seen.at_s > at_s:
            break
        version = seen.version
    return version


def in_force_soon(evidence: Evidence) -> list[Violation]:
    """Within about 3 s of an acknowledged change every connected front serves under it."""
    violations = []
    for front, observations in _observations(evidence).items():
        for change in acknowledged_changes(evidence):
            due_s = change.acknowledged_s + LAG_LIMIT_S + OBSERVATION_TOLERANCE_S
            version = _version_at(observations, due_s)
            late = 0 <= version < change.version
            if late and not _is_excused(evidence, front, due_s):
                text = f"{front} serves {version}, {change.version} is due"
                violations.append(Violation(due_s, text))
    return violations


def never_slides_back(evidence: Evidence) -> list[Violation]:
    """The version a front serves under never gets smaller while it runs."""
    violations = []
    for front, observations in _observations(evidence).items():
        highest = -1
        for seen in observations:
            if seen.version < 0:
                continue
            if seen.version < highest and seen.version != 0:
                text = f"{front} went from {highest} back to {seen.version}"
                violations.append(Violation(seen.at_s, text))
            highest = max(highest, seen.version)
    return violations


def lags(evidence: Evidence) -> list[float]:
    """Return, for each acknowledged change and front, the seconds until it was seen there."""
    result = []
    for front, observations in _observations(evidence).items():
        for change in acknowledged_changes(evidence):
            if _is_excused(evidence, front, change.acknowledged_s):
                continue
            for seen in observations:
                if seen.version >= change.version:
                    result.append(max(0.0, seen.at_s - change.acknowledged_s))
                    break
    return sorted(result)


def one_winner(evidence: Evidence) -> list[Violation]:
    """Of the orders on one version number one digest wins, and its repeats are acknowledged."""
    orders = defaultdict(list)
    for operator in evidence.operators:
        for change in operator.changes:
            if change.kind in CONFIGURATION_KINDS:
                orders[change.version].append(change)
    violations = []
    for version, changes in orders.items():
        winners = {change.digest for change in changes if change.outcome is Outcome.DONE}
        if len(winners) > 1:
            text = f"version {version} was acknowledged for {sorted(winners)}"
            violations.append(Violation(changes[0].started_s, text))
        for change in changes:
            if change.digest in winners and change.last_status == CONFLICT_STATUS:
                text = f"version {version}: a repeat of the winner was refused"
                violations.append(Violation(change.started_s, text))
    return violations


def read_back_is_newest(evidence: Evidence) -> list[Violation]:
    """What is read back at the end is the newest acknowledged change, exactly as sent."""
    if not evidence.read_back_expected:
        return []
    changes = acknowledged_changes(evidence)
    read = evidence.read_back
    if read is None:
        return [Violation(END_OF_RUN_S, "the configuration could not be read back")]
    newest = max((change.version for change in changes), default=0)
    if read.version < newest:
        return [Violation(END_OF_RUN_S, f"read back {read.version}, acknowledged {newest}")]
    winners = {change.digest for change in changes if change.version == read.version}
    sent = {evidence.documents.get(digest) for digest in winners}
    if winners and None not in sent and read.document not in sent:
        return [Violation(END_OF_RUN_S, f"version {read.version} read back isn't the one sent")]
    return []
