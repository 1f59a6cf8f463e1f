"""Processor time and resident memory of processes, read from /proc."""

import os
from pathlib import Path

import attrs

_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12
_RESIDENT_FIELD = 1
BYTES_PER_MB = 1_000_000


@attrs.frozen
class ProcessCost:
    """What a process has used so far."""

    processor_s: float
    resident_bytes: int


def read_cost(pid: int) -> ProcessCost | None:
    """Return what a process has used, None if it is gone."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text()
        memory = Path(f"/proc/{pid}/statm").read_text()
    except OSError:
        return None
    fields = stat.rpartition(")")[2].split()  # the name before it may hold spaces
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    resident = int(memory.split()[_RESIDENT_FIELD]) * _PAGE_BYTES
    return ProcessCost(ticks / _TICKS_PER_S, resident)


@attrs.frozen
class CostSample:
    """The costs of daemons by name at a moment; ``starts`` tells restarts apart."""

    at_s: float
    costs: dict[str, ProcessCost]
    starts: dict[str, int]


def cost_by_role(
    begin: CostSample, end: CostSample, roles: dict[str, str]
) -> dict[str, dict[str, float]]:
    """Return, for each role, the mean processor share and the largest resident memory.

    Processes that were restarted between the samples are left out.
    """
    seconds = max(end.at_s - begin.at_s, 1e-9)
    shares: dict[str, list[float]] = {}
    memory: dict[str, list[int]] = {}
    for name, cost in sorted(end.costs.items()):
        before = begin.costs.get(name)
        if before is None or begin.starts[name] != end.starts[name]:
            continue
        role = roles[name]
        shares.setdefault(role, []).append((cost.processor_s - before.processor_s) / seconds)
        memory.setdefault(role, []).append(cost.resident_bytes)
    return {
        role: {
            "processor_share": round(sum(values) / len(values), 4),
            "resident_mb": round(max(memory[role]) / BYTES_PER_MB, 1),
        }
        for role, values in shares.items()
    }
