"""Timing of membership at the core, in seconds.

A node counts the validity of its lease and grants from the time at which it sent the renewal;
the core counts from the receipt, which is later, and adds a margin for clock drift.
"""

from rooklug.model.constants import NODE_LEASE_S, ROLE_LEASE_S

MAX_CLOCK_DRIFT = 0.02
"""Largest relative difference between the clock rates of two machines that leases tolerate."""

TICK_S = 0.25
"""Interval of the checks for expired leases, roles that can move, and polls that time out."""

MEMBERS_BATCH_S = 0.1
"""Changes of membership within this time are published as one version."""

MEMBERS_BYTES_PER_S = 20_000_000
"""Rate limit of members publications: bytes sent to all pending polls together."""

MEMBERS_MAX_DELAY_S = 0.8
"""Longest time for which the rate limit delays a change of membership."""

CONFIGURATION_BATCH_S = 0.1
"""Minimum interval between configuration updates; only the newest is published after it."""

REBALANCE_INTERVAL_S = 10.0
"""At most one role of each group is moved for balance in this time."""


def with_clock_drift_margin(duration_s: float) -> float:
    """Return the wait by this machine's clock after which ``duration_s`` is over by any other."""
    return duration_s * (1.0 + MAX_CLOCK_DRIFT)


NODE_LEASE_EXPIRY_S = with_clock_drift_margin(NODE_LEASE_S)
"""Time from the receipt of a renewal until the node's lease expires at the primary."""

ROLE_LEASE_EXPIRY_S = with_clock_drift_margin(ROLE_LEASE_S)
"""Time from the receipt of a renewal until its role grants have expired at the node."""

UNANNOUNCED_GRANTS_EXPIRY_S = ROLE_LEASE_EXPIRY_S
"""Time from the start of a primary until no grant of an earlier primary can still be valid.

Replication starts a primary only after the lease of any earlier primary has expired: its
witnesses wait that long before they promise their votes. An earlier primary grants nothing after
its lease, so only the length of one role grant is left to wait for.
"""
