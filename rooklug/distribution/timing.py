"""Timing of a node's link to the core, in seconds."""

RENEWAL_DEADLINE_S = 0.8
"""Time after which a renewal without an answer has failed."""

ROLE_RENEWAL_S = 0.5
"""Renewal interval of role owners, short enough for grants to be valid after a failover."""

RENEWAL_JITTER = 0.15
"""Renewals are sent up to this share of their interval early, to spread the nodes' load."""

RENEW_SOON_S = 0.02
"""Mean delay of a prompt renewal: after a grant was lost or not extended, or a flag changed."""

INITIAL_BACKOFF_S = 0.1
"""Backoff after the first failed call to a core; each further failure multiplies it."""

MAX_BACKOFF_S = 0.4
BACKOFF_FACTOR = 2.0

MAX_STARTING_BACKOFF_S = 0.12
"""Limit for a node that has no topic yet: it can't serve, so it retries more often."""

POLL_OVERDUE_S = 0.3
"""Age from which a poll counts as lost if a renewal's answer names newer versions."""

PUBLISH_DEADLINE_S = 1.0
"""Time after which a publication without an answer has failed and is sent again."""

MAX_RELEASE_ATTEMPTS = 3
"""Attempts of a stopping node to release its lease; after these it ends by expiry."""
