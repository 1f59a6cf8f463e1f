"""Timing and size constants of the control state; units are in the names."""

from rooklug.model.constants import FAILOVER_TIMEOUT_S, PRIMARY_HEARTBEAT_S, PRIMARY_LEASE_S

WITNESS_FILE = "witness"
LOG_FILE = "control-log"

TICK_TIMER = "tick"
TICK_S = 0.05
HEARTBEAT_S = PRIMARY_HEARTBEAT_S
# Witnesses wait FAILOVER_TIMEOUT_S from receipt; the primary counts less, from its send,
# so that clocks may run apart by a twentieth.
CLOCK_RATE_MARGIN = 0.95
LEASE_S = PRIMARY_LEASE_S * CLOCK_RATE_MARGIN
QUIET_S = FAILOVER_TIMEOUT_S

MESSAGE_DEADLINE_S = 0.5
COPY_DEADLINE_S = 5.0
SYNC_DEADLINE_S = 1.0
PROMISE_GRACE_S = 0.15
PRIMARY_PROMISE_GRACE_S = 0.3
ROUND_DEADLINE_S = 1.0
FAILOVER_STEP_S = 0.15
FAILOVER_JITTER_S = 0.2
RETRY_S = 0.3
# A primary that was restarted asks for its place again so often, for so long.
RESUME_RETRY_S = 0.1
RESUME_S = 3.0
RETRY_JITTER_S = 0.5
READ_WITNESS_S = 0.3
DRAIN_S = 0.25
DRAIN_LAG_ENTRIES = 256
REJOIN_BACKOFF_S = 1.0
REJOIN_BACKOFF_LIMIT_S = 10.0
STOP_GRACE_S = 0.5
# A core whose disk refuses writes ends so much later: its supervisor tries again.
FAILED_EXIT_S = 0.5

EPOCH_SLOTS = 3
MINIMUM_IN_SYNC = 2
FIRST_EPOCH = EPOCH_SLOTS
# A member that was silent for so long gives its place to a core that wants to join.
REPLACE_AFTER_S = 1.6
# A member that was told to stop gives it at once, for so long.
LEAVING_VALID_S = 10.0
# A core that wants to join asks so often; older wishes are forgotten.
JOIN_INTERVAL_S = 0.3
JOIN_VALID_S = 1.0

MAX_BATCH_BYTES = 1024 * 1024
ASSUMED_BYTES_PER_S = 4 * 1024 * 1024
REWRITE_BYTES = 16 * 1024 * 1024
WITNESS_REWRITE_RECORDS = 1000
CHANGES_PER_PART = 20_000
OPERATIONS_PER_PART = 10_000
MAX_WAITING_CHANGES = 2000
MAX_NAME_LENGTH = 200
QUORUM_WAIT_S = 0.7
