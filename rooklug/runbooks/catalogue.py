"""All runbooks by their name on the command line."""

from rooklug.runbooks.failover_check import FAILOVER_CHECK
from rooklug.runbooks.lost_disk_machine import LOST_DISK_MACHINE
from rooklug.runbooks.recover_cores import RECOVER_CORES
from rooklug.runbooks.roll_fronts import ROLL_FRONTS
from rooklug.runbooks.stuck_load import STUCK_LOAD
from rooklug.runbooks.zones import EMPTY_ZONE, RESTORE_ZONE

RUNBOOKS = {
    runbook.name: runbook
    for runbook in (
        LOST_DISK_MACHINE,
        RECOVER_CORES,
        EMPTY_ZONE,
        RESTORE_ZONE,
        ROLL_FRONTS,
        FAILOVER_CHECK,
        STUCK_LOAD,
    )
}
