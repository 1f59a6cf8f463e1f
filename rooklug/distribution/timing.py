"""Timing of a node's link to the core, in seconds."""

RENEWAL_DEADLINE_S = 0.8
"""A renewal without an answer for this time has failed."""

ROLE_RENEWAL_S = 0.5
"""Interval of the renewals of role owners: a failover should find their grants still valid."""

RENEWAL_JITTER = 0.15
"""Renewals come up to this share earlier than their interval, so that nodes spread out."""

RENEW_SOON_S = 0.02
"""Delay of a renewal after a change: a grant was lost or not extended, a flag changed."""

BACKOFF_FIRST_S = 0.1
BACKOFF_LIMIT_S = 0.4
BACKOFF_FACTOR = 2.0

START_BACKOFF_LIMIT_S = 0.12
"""Backoff limit of a node without any topic: it can't serve, so it retries often."""

POLL_OVERDUE_S = 0.3
"""A poll older than this, when a renewal's answer names newer versions, counts as lost."""

PUBLISH_DEADLINE_S = 1.0

LEAVE_ATTEMPTS = 3
"""How many times a stopping node tries to release its lease."""
