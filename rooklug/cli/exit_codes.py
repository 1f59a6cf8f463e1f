"""Exit codes of ``rooklug``; 69 to 73 have their meanings from sysexits.h."""

OK = 0
FAILURE = 1
USAGE = 2
PORT_IN_USE = 69
BROKEN_INVARIANT = 70
DATA_FOLDER = 73

# Only used by ``rooklug ctl`` and ``rooklug runbook``.
CONFLICT = 3  # the version belongs to another change
INVALID = 4  # rejected, with all problems listed; nothing was changed
UNAVAILABLE = 5  # no answer; an order was certainly not accepted
UNKNOWN = 6  # outcome unknown: send the identical order again
