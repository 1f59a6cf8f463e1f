"""Timing and size constants of the control state; the names end with the unit."""

from rooklug.model.constants import FAILOVER_TIMEOUT_S, PRIMARY_HEARTBEAT_S, PRIMARY_LEASE_S

WITNESS_FILE = "witness"
LOG_FILE = "control-log"

TICK_TIMER = "tick"
TICK_S = 0.05
HEARTBEAT_S = PRIMARY_HEARTBEAT_S
CLOCK_RATE_MARGIN = 0.95
"""Tolerates a difference of 5 % between the clock rates of two machines."""
LEASE_S = PRIMARY_LEASE_S * CLOCK_RATE_MARGIN
"""Length of the primary's lease, counted from when it sent the heartbeat."""
LEASE_GUARD_S = FAILOVER_TIMEOUT_S
"""How long after receiving a heartbeat a witness makes no promise to any other core."""

MESSAGE_DEADLINE_S = 0.5
REPLICATION_DEADLINE_S = 5.0
SYNC_DEADLINE_S = 1.0
PROMISE_GRACE_S = 0.15
PRIMARY_PROMISE_GRACE_S = 0.3
PROPOSAL_DEADLINE_S = 1.0
FAILOVER_STEP_S = 0.15
FAILOVER_JITTER_S = 0.2
RETRY_S = 0.3
RESUME_RETRY_S = 0.1
"""Interval between the proposals of a restarted primary."""
RESUME_S = 3.0
"""How long after its restart a primary proposes itself without waiting for a lease to expire."""
RETRY_JITTER_S = 0.5
READ_WITNESS_S = 0.3
CATCH_UP_S = 0.25
"""The longest pause of appends during which a learner's log may become equal to the primary's."""
CATCH_UP_LAG_ENTRIES = 256
"""Appends pause only for learners that lack at most this many entries."""
REJOIN_BACKOFF_S = 1.0
REJOIN_BACKOFF_LIMIT_S = 10.0
STOP_GRACE_S = 0.5
FAILED_EXIT_S = 0.5
"""Delay between a failed write and the core's exit; its supervisor restarts it."""

EPOCH_SLOTS = 3
FIRST_EPOCH = EPOCH_SLOTS
REPLACE_AFTER_S = 1.6
"""A joining core may replace a member that has had no contact for this long."""
DRAINING_VALID_S = 10.0
"""How long a member that announced its stop may be replaced without waiting."""
JOIN_INTERVAL_S = 0.3
"""Interval between the requests of a core that wants to join."""
JOIN_VALID_S = 1.0
"""Age from which a join request is dropped."""

MAX_BATCH_BYTES = 1024 * 1024
ASSUMED_BYTES_PER_S = 4 * 1024 * 1024
REWRITE_BYTES = 16 * 1024 * 1024
WITNESS_REWRITE_RECORDS = 1000
CHANGES_PER_CHUNK = 20_000
OPERATIONS_PER_CHUNK = 10_000
MAX_WAITING_CHANGES = 2000
MAX_NAME_LENGTH = 200
QUORUM_WAIT_S = 0.7
