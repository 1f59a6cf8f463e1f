"""Timing and size constants that several packages must agree on; the names end with the unit."""

NODE_LEASE_S = 3.0
"""Duration of a node's lease, counted by the node from when it sent the renewal."""
NODE_LEASE_RENEWAL_S = 1.0
"""Interval of a node's lease renewals, before jitter; shorter while the node holds grants."""
ROLE_LEASE_S = 3.0
"""Duration of a role grant, counted like a node's lease."""
POLL_WAIT_S = 10.0
"""Longest time for which the primary holds a long poll without an update."""
POLL_ANSWER_DEADLINE_S = 12.0
"""Deadline of a long poll at the node: longer than ``POLL_WAIT_S``."""
CALL_DEADLINE_S = 1.0
"""Deadline of short calls."""
DEMAND_REPORT_INTERVAL_S = 1.0
PRIMARY_LEASE_S = 1.5
"""Duration of the primary's lease, before the margin for different clock rates."""
PRIMARY_HEARTBEAT_S = 0.3
"""Interval of the primary's heartbeats, which extend its lease."""
FAILOVER_TIMEOUT_S = 1.5
"""How long after receiving a heartbeat a witness supports no other core."""
PLATFORM_POLL_S = 0.5
"""Interval between polls of the platform's list of replicas, and their longest wait."""

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
MAX_REQUEST_BODY_BYTES = 8 * 1024 * 1024
MAX_JSON_DEPTH = 32
MAX_SAFE_INTEGER = 2**53 - 1
"""Up to this, a double represents every integer exactly; JSON readers may use doubles."""
