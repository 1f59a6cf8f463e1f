"""Fault scenarios for a simulated deployment of two hundred machines.

Each fault is injected more than once or together with another one, while configuration changes
are sent. An acknowledged change must still exist at the end, and must take effect in time at
every front that can reach the core.
"""

from functools import partial
from random import Random

from rooklug_lab.gateway.replicas import Conduct
from rooklug_lab.gateway.site import GatewaySite

SLOW_SHARE = 0.15
ADDED_PER_ZONE = 6
POLL_INTERVAL_S = 0.0005
"""Interval at which ``power_goes_with_disks`` checks for the acknowledgement."""


def machines_turn_slow(site: GatewaySite, random: Random) -> None:
    """About a sixth of the fronts and the primary slow down, twice; then eight replicas drain."""
    for begin_s in (1.0, 8.0):
        names = random.sample(site.fronts, int(len(site.fronts) * SLOW_SHARE))
        site.later(begin_s, lambda n=names: site.slow([*n, site.primary()], 5.5))
    site.later(2.0, lambda: site.change(["slow"]))
    for entry in random.sample(site.replicas, 8):
        site.later(14.0 + random.random(), partial(site.drain, entry))


def machines_are_added(site: GatewaySite, random: Random) -> None:
    """Machines join every zone while a change propagates and the primary is killed."""
    for place, zone in enumerate(site.shape.zones):
        begin_s = 1.0 + 0.3 * place
        site.later(begin_s, lambda z=zone: site.add_machines(z, ADDED_PER_ZONE))
    site.later(1.5, lambda: site.change(["added"]))
    site.later(2.0 + random.random(), lambda: site.kill([site.primary()], 1.5))
    site.later(6.0, lambda: site.order_zone("south-b", "empty"))
    site.later(14.0, lambda: site.order_zone("south-b", "restore"))


def core_is_replaced(site: GatewaySite, random: Random) -> None:
    """The first seed, then the primary, is lost for good and replaced at another address."""
    site.later(0.5, lambda: site.change(["first"]))
    site.later(1.0, lambda: site.replace_core(site.cores[0], 1.0))
    site.later(4.0, lambda: site.change(["second"]))
    site.later(7.5, lambda: site.replace_core(site.primary(), 1.0))
    site.later(8.0 + random.random(), lambda: site.change(["third"]))


def zone_is_cut(site: GatewaySite, random: Random) -> None:
    """A random zone is partitioned from the others, and later the primary's zone."""
    zones = list(site.shape.zones)
    site.later(1.0, lambda: site.isolate_zone(random.choice(zones), 4.5))
    site.later(2.0, lambda: site.change(["first"]))
    site.later(9.0, lambda: site.isolate_zone(site.process(site.primary()).place.zone, 3.5))
    site.later(10.0, lambda: site.change(["second"]))


def packets_pass_one_way(site: GatewaySite, random: Random) -> None:
    """Inbound packets are lost, outbound ones pass: at twelve fronts, later at the primary."""
    names = random.sample(site.fronts, 12)
    site.later(1.0, lambda: site.isolate(names, 5.0, outbound=False))
    site.later(2.0, lambda: site.change(["first"]))
    site.later(8.0, lambda: site.isolate([site.primary()], 4.0, outbound=False))
    site.later(9.0, lambda: site.change(["second"]))


def core_falls_apart(site: GatewaySite, random: Random) -> None:
    """The cores are partitioned into halves, and two machines of one half lose power."""
    half, others = site.core_halves(random)
    site.later(1.0, lambda: site.partition(half, others, 4.0))
    site.later(2.0, lambda: site.change(["first"]))
    site.later(3.0, lambda: site.kill(half[:2], 3.0, power=True))
    site.later(5.5, lambda: site.turn_cold("north-a"))
    site.later(9.0, lambda: site.change(["second"]))


def clients_repeat_at_once(site: GatewaySite, random: Random) -> None:
    """Clients retry immediately, three times, while replicas reject requests or lose power."""
    site.change(["again"])
    site.later(3.5, lambda: site.add_path("/again/1"))
    for region in site.shape.regions:
        site.set_immediate_retries(region, 3)
    ledgers = [entry for entry in site.replicas if entry.service == "ledger"]
    for entry in random.sample(ledgers, len(ledgers) * 2 // 3):
        site.later(4.0 + random.random(), partial(site.misbehave, entry, Conduct.REJECTS, 8.0))
    models = [entry for entry in site.replicas if entry.service == "model"]
    for entry in random.sample(models, len(models) // 5):
        site.later(6.0 + random.random(), partial(site.crash_replica, entry, 2.0, dark=True))


def power_goes_with_disks(site: GatewaySite, random: Random) -> None:
    """All machines lose power right after an acknowledgement; tolerated disks are lost, too.

    The primary's disk is among the lost ones. The other cores' disks stall when the change is
    sent, so it must not be acknowledged before enough of them have written it.
    """
    for name in site.cores:
        if name != site.primary():
            site.stall_disk(name, 0.4)
    order = site.change(["last"])

    def power_off_all() -> None:
        lost = [site.primary()]
        rest = [name for name in site.cores if name not in lost]
        lost += random.sample(rest, site.shape.tolerance - 1)
        others = [name for name in [*site.cores, *site.fronts] if name not in lost]
        site.kill(lost, 1.0, power=True, wipe=True)
        site.kill(others, 1.0, power=True)

    def poll_acknowledgement() -> None:
        if order.acknowledged_at:
            power_off_all()
        else:
            site.later(POLL_INTERVAL_S, poll_acknowledgement)

    site.later(POLL_INTERVAL_S, poll_acknowledgement)


LARGE_DAYS = (
    machines_turn_slow,
    machines_are_added,
    core_is_replaced,
    zone_is_cut,
    packets_pass_one_way,
    core_falls_apart,
    clients_repeat_at_once,
    power_goes_with_disks,
)
