"""Timing of the core's side of membership, in seconds; a node counts from its own sends."""

from rooklug.model.constants import LEASE_S, ROLE_LEASE_S

CLOCK_DRIFT = 0.02
"""Largest relative difference between the rates of two machines' clocks that is allowed for."""

TICK_S = 0.25
"""How often expired leases, free roles and overdue polls are looked for."""

MEMBERS_BATCH_S = 0.1
"""Changes of membership within this time go out as one body."""

MEMBERS_BYTES_PER_S = 20_000_000
"""Rate limit of publications of the members topic: bytes to all pending polls together."""

MEMBERS_MAX_DELAY_S = 0.8
"""The rate limit never delays a change of membership for longer."""

CONFIGURATION_BATCH_S = 0.1
"""Configurations committed within this time of one another go out as one update."""

REBALANCE_INTERVAL_S = 10.0
"""At most one role is moved for balance in this time."""


def longest_by_any_clock(duration_s: float) -> float:
    """Return how long to wait by this clock until ``duration_s`` is over by any other."""
    return duration_s * (1.0 + CLOCK_DRIFT)


NODE_LEASE_EXPIRY_S = longest_by_any_clock(LEASE_S)
"""From the receipt of a renewal until the node counts as dead."""

ROLE_LEASE_EXPIRY_S = longest_by_any_clock(ROLE_LEASE_S)
"""From the receipt of a renewal until its role grants have certainly expired."""

UNANNOUNCED_GRANTS_EXPIRY_S = ROLE_LEASE_EXPIRY_S
"""From the start of a primary until no grant of an earlier primary can still be valid.

Replication starts a primary only after the lease of any earlier one is certainly over: its
witnesses stay quiet for as long before they promise. An earlier primary granted nothing
after that, so only the length of a grant is left to wait for.
"""
