"""Limits and times of once-only requests.

Claims and outcomes are limited by number and not by age, because clocks can jump. The most recent
``MAX_CLAIMS_PER_SHARD`` times ``CLAIM_SHARDS`` claimed keys are kept; at 8 requests per second
that is more than two hours (docs/once-only.md).
"""

# Limits of stored claims, outcomes and results, and of attempts at one front.
MAX_CLAIMS_PER_SHARD = 4096
MAX_OUTCOMES = 16_384
MAX_RESULT_BYTES = 256 * 1024
MAX_STORED_RESULT_BYTES = 8 * 1024 * 1024
MAX_ACTIVE_ATTEMPTS = 512
# Replicas of a back end that an attempt is sent to, if the earlier ones could not be reached.
MAX_BACKEND_ATTEMPTS = 3

# A shard owner's calls to the claim stores, and the intervals at which it repeats them.
STORE_DEADLINE_S = 1.0
STORE_RETRY_S = 0.5
STORE_CHECK_S = 10.0
DAMAGED_STORE_CHECK_S = 2.0
# Wait before an owner decides again after two or more stores have lost their claims.
RECOVERY_WAIT_S = 5.0

# An attempt's requests to a shard owner.
CLAIM_DEADLINE_S = 2.0
CLAIM_RETRY_S = 0.15
# Longest wait for a claim where giving up would have to be answered "unknown".
CLAIM_WAIT_S = 4.5
# No claim is requested in the last part of the caller's time, which the write would need.
WRITE_RESERVE_S = 0.1
OUTAGE_AFTER_S = 5.0
OUTAGE_RESET_AFTER_S = 3.0
# An attempt's requests for the outcome of the attempt that has claimed its key.
STATUS_DEADLINE_S = 0.6
STATUS_POLL_S = 0.1
MAX_STATUS_FAILURES = 3
# Writes to a back end, and the replication of their results to another front.
REPLICATION_DEADLINE_S = 1.0
CONNECT_DEADLINE_S = 0.5
REPLICA_AVOIDANCE_S = 5.0
MIN_WRITE_TIME_S = 0.02
# How much longer than the caller's deadline a write may take.
LATE_RESULT_ALLOWANCE_S = 5.0
RETRY_AFTER_S = 1
