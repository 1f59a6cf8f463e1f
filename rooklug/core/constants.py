"""Timing and size constants of the control state; the names end with the unit."""

from rooklug.distribution.timing import MAX_BACKOFF_S, RENEWAL_DEADLINE_S
from rooklug.model.constants import FAILOVER_TIMEOUT_S, PRIMARY_HEARTBEAT_S, PRIMARY_LEASE_S

WITNESS_FILE = "witness"
LOG_FILE = "control-log"

TICK_TIMER = "tick"
TICK_INTERVAL_S = 0.05
HEARTBEAT_INTERVAL_S = PRIMARY_HEARTBEAT_S
CLOCK_RATE_MARGIN = 0.95
"""Tolerates a difference of 5 % between the clock rates of two machines."""
LEASE_S = PRIMARY_LEASE_S * CLOCK_RATE_MARGIN
"""Length of the primary's lease, counted from when it sent the heartbeat."""
LEASE_GUARD_S = FAILOVER_TIMEOUT_S
"""How long after receiving a heartbeat a witness makes no promise to any other core."""

MESSAGE_DEADLINE_S = 0.5
"""Deadline of small requests between cores."""
REPLICATION_DEADLINE_S = 5.0
"""Deadline of requests that carry entries or snapshot chunks to a learner."""
SYNC_DEADLINE_S = 1.0
"""How long a write may take before its disk counts as too slow."""
PROMISE_GRACE_S = 0.15
"""How long a candidate waits for more promises after the first one."""
PRIMARY_PROMISE_GRACE_S = 0.3
"""The same for a primary that changes the view that it leads."""
PROPOSAL_DEADLINE_S = 1.0
"""Age at which a proposal without a majority fails."""
ELECTION_STAGGER_S = 0.15
"""Delay between the candidacies of two successive in-sync members."""
ELECTION_JITTER_S = 0.2
"""Upper bound of the random delay before the first candidacy."""
ELECTION_RETRY_S = 0.3
"""Delay before the next candidacy, after a failed proposal or lost leadership."""
STAND_BACK_S = 2.0
"""The same for a primary that handed over to be succeeded: another core has to lead first."""
RESUME_RETRY_INTERVAL_S = 0.1
"""Interval between the proposals of a restarted primary."""
RESUME_WINDOW_S = 3.0
"""How long after its restart a primary proposes itself without waiting for a lease to expire."""
ELECTION_RETRY_JITTER_S = 0.5
"""Upper bound of the random delay in addition to it after a failed proposal."""
READ_WITNESS_INTERVAL_S = 0.3
"""Interval at which a core without a vote reads the other witnesses."""
GROUP_START_REPORT_VALID_S = 5.0
"""Age at which a node's report that the group is at its first start is dropped."""
GROUP_REPORT_WINDOW_S = RENEWAL_DEADLINE_S + MAX_BACKOFF_S
"""Time within which a node without a primary calls another core, after one that didn't answer."""
CATCH_UP_PAUSE_S = 0.25
"""The longest pause of appends during which a learner's log may become equal to the primary's."""
CATCH_UP_LAG_ENTRIES = 256
"""Appends pause only for learners that lack at most this many entries."""
REJOIN_BACKOFF_S = 1.0
REJOIN_BACKOFF_LIMIT_S = 10.0
"""First and longest wait until a member may be admitted to the in-sync set again."""
STOP_GRACE_S = 0.5
"""Delay between a stop request and the exit, for the hand-over to reach the others."""
FAILED_EXIT_DELAY_S = 0.5
"""Delay between a failed write and the core's exit; its supervisor restarts it."""

EPOCH_SLOTS = 3
"""A core with index ``i`` proposes only epochs equal to ``i`` modulo this."""
REPLACE_AFTER_S = 1.6
"""A joining core may replace a member that has had no contact for this long."""
DRAINING_VALID_S = 10.0
"""How long a member that announced its stop may be replaced without waiting."""
SUCCESSION_PAUSE_S = 5.0
"""The least time between two hand-overs of a primary to be succeeded; it may be elected again."""
JOIN_INTERVAL_S = 0.3
"""Interval between the requests of a core that wants to join."""
JOIN_VALID_S = 1.0
"""Age from which a join request is dropped."""

MAX_BATCH_BYTES = 1024 * 1024
"""Largest total size of the documents in one append request, unless one alone is larger."""
ASSUMED_BYTES_PER_S = 4 * 1024 * 1024
"""Transfer rate by which the deadline of an append request grows with its size."""
REWRITE_BYTES = 16 * 1024 * 1024
"""The log file is compacted when it exceeds twice its snapshot by this much."""
WITNESS_REWRITE_RECORDS = 1000
"""The witness file is rewritten when it has this many records."""
CHANGES_PER_CHUNK = 20_000
OPERATIONS_PER_CHUNK = 10_000
"""Change identities and zone orders per chunk of a snapshot."""
MAX_QUEUED_CHANGES = 2000
"""Requests that may wait to be appended; further ones are rejected as unavailable."""
MAX_NAME_LENGTH = 200
"""Longest zone name and operation id, in characters."""
QUORUM_TIMEOUT_S = 0.7
"""How long after its arrival a checked request waits until it may be appended."""
