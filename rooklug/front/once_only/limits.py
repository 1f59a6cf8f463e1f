"""Limits and times of once-only requests; units are in the names.

What is remembered is bounded by number, not by time: clocks jump. ``MAX_CLAIMS_PER_SHARD``
times ``CLAIM_SHARDS`` keys are known to have been claimed; at 8 requests a second that is
more than two hours, see docs/once-only.md.
"""

MAX_CLAIMS_PER_SHARD = 4096
MAX_OUTCOMES = 16_384
MAX_RESULT_BYTES = 256 * 1024
MAX_KEPT_RESULT_BYTES = 8 * 1024 * 1024
MAX_ACTIVE_ATTEMPTS = 512
MAX_BACKEND_TRIES = 3

STORE_DEADLINE_S = 1.0
STORE_RETRY_S = 0.5
STORE_CHECK_S = 10.0
DAMAGED_STORE_CHECK_S = 2.0
RECOVERY_WAIT_S = 5.0

CLAIM_DEADLINE_S = 2.0
CLAIM_RETRY_S = 0.15
CLAIM_WAIT_S = 4.5
WRITE_RESERVE_S = 0.1
OUTAGE_AFTER_S = 5.0
OUTAGE_FORGOTTEN_S = 3.0
STATUS_DEADLINE_S = 0.6
STATUS_POLL_S = 0.1
MAX_STATUS_FAILURES = 3
REPLICATION_DEADLINE_S = 1.0
CONNECT_DEADLINE_S = 0.5
AVOID_S = 5.0
MIN_WRITE_S = 0.02
LATE_RESULT_S = 5.0
RETRY_AFTER_S = 1
