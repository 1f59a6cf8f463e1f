"""Timing and size constants of the control state; units are in the names."""

from rooklug.model.constants import FAILOVER_TIMEOUT_S, PRIMARY_HEARTBEAT_S, PRIMARY_LEASE_S

WITNESS_FILE = "witness"
LOG_FILE = "control-log"

TICK_TIMER = "tick"
TICK_S = 0.05
HEARTBEAT_S = PRIMARY_HEARTBEAT_S
CLOCK_RATE_MARGIN = 0.95
"""The rates of two machines' clocks may differ by a twentieth."""
LEASE_S = PRIMARY_LEASE_S * CLOCK_RATE_MARGIN
"""The primary's lease, counted from its send of a heartbeat."""
LEASE_GUARD_S = FAILOVER_TIMEOUT_S
"""For so long after the receipt of a heartbeat a witness promises nothing to other cores."""

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
RESUME_S = 3.0
"""A primary that was restarted proposes itself so often, and for so long."""
RETRY_JITTER_S = 0.5
READ_WITNESS_S = 0.3
CATCH_UP_S = 0.25
"""Appends rest for so long at most, until a learner's log equals the primary's."""
CATCH_UP_LAG_ENTRIES = 256
"""Appends rest only for learners that lack no more entries than this."""
REJOIN_BACKOFF_S = 1.0
REJOIN_BACKOFF_LIMIT_S = 10.0
STOP_GRACE_S = 0.5
FAILED_EXIT_S = 0.5
"""A core whose disk refuses writes exits so much later; its supervisor starts it again."""

EPOCH_SLOTS = 3
FIRST_EPOCH = EPOCH_SLOTS
REPLACE_AFTER_S = 1.6
"""A member without contact for so long may be replaced by a core that wants to join."""
DRAINING_VALID_S = 10.0
"""A member that said it is being stopped may be replaced at once, for so long."""
JOIN_INTERVAL_S = 0.3
"""How often a core that wants to join sends its request."""
JOIN_VALID_S = 1.0
"""Requests to join that are older than this are dropped."""

MAX_BATCH_BYTES = 1024 * 1024
ASSUMED_BYTES_PER_S = 4 * 1024 * 1024
REWRITE_BYTES = 16 * 1024 * 1024
WITNESS_REWRITE_RECORDS = 1000
CHANGES_PER_CHUNK = 20_000
OPERATIONS_PER_CHUNK = 10_000
MAX_WAITING_CHANGES = 2000
MAX_NAME_LENGTH = 200
QUORUM_WAIT_S = 0.7
