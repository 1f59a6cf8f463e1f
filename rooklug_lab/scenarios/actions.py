"""What each scenario does to a site under traffic."""

import asyncio

from rooklug_lab.fleet.link_rules import LinkState, isolation
from rooklug_lab.fleet.zone_faults import crash_replicas, parting, return_replicas
from rooklug_lab.scenarios.scenario_run import ScenarioRun
from rooklug_lab.scenarios.targets import busiest_replica

STEADY_S = 5.0
CUT_S = 20.0
DOWN_S = 3.0
RECOVERY_S = 14.0
STORM_CHANGES = 200
STORM_INVALID_EVERY = 20


async def steady(run: ScenarioRun) -> None:
    """No fault: traffic and changes only, to compare the others with."""
    await asyncio.sleep(CUT_S)


async def kill_core(run: ScenarioRun) -> None:
    """Kill a core, often the primary, right after an acknowledged change."""
    await run.stop_changes()
    await run.change()
    cores = [core.node.node_id for core in run.fleet.deployment.cores]
    primary = await run.fleet.primary()
    victim = run.random.choice([primary or cores[0], *cores])
    await run.change()
    run.fleet.kill(victim)
    faults = run.begin("primary-killed" if victim == primary else "backup-killed", victim)
    await asyncio.sleep(RECOVERY_S / 2)
    run.fleet.start_process(victim)
    run.end(faults)
    await run.change()
    await asyncio.sleep(RECOVERY_S)


async def kill_zone(run: ScenarioRun) -> None:
    """Kill every process of a zone, replicas too, and start them again."""
    zones = list(run.fleet.deployment.zone_regions)
    zone = run.random.choice(zones)
    names = run.fleet.daemons_of_zone(zone)
    for name in names:
        run.fleet.kill(name)
    await crash_replicas(run.fleet, zone)
    faults = run.begin("zone-killed", zone, *names)
    await asyncio.sleep(RECOVERY_S / 2)
    await return_replicas(run.fleet, zone)
    for name in names:
        run.fleet.start_process(name)
    run.end(faults)
    await asyncio.sleep(RECOVERY_S)


async def kill_all(run: ScenarioRun) -> None:
    """Kill every daemon at once and start all again; the configuration must be there."""
    await run.stop_changes()
    await run.replace_document()
    for name in run.fleet.nodes:
        run.fleet.kill(name)
    faults = run.begin("all-killed", "all")
    await asyncio.sleep(DOWN_S)
    for name in run.fleet.nodes:
        run.fleet.start_process(name)
    run.end(faults)
    await run.check_reads_back()
    await asyncio.sleep(RECOVERY_S)


async def silent_primary(run: ScenarioRun) -> None:
    """Cut the primary's machine off in silence for 20 s."""
    victim = await run.fleet.primary()
    machine = frozenset({run.fleet.nodes[victim].bind_ip})
    rules = isolation(machine, LinkState.SILENT)
    faults = run.silence("primary-silenced", rules, victim, run.fleet.front_beside(victim))
    await asyncio.sleep(CUT_S)
    run.heal(rules, faults)
    await asyncio.sleep(RECOVERY_S)


async def silent_placer(run: ScenarioRun) -> None:
    """Cut the placer's machine off in silence for 20 s."""
    victim = await run.fleet.role_owner("placer")
    machine = frozenset({run.fleet.nodes[victim].bind_ip})
    rules = isolation(machine, LinkState.SILENT)
    faults = run.silence("placer-silenced", rules, victim, run.fleet.front_beside(victim))
    await asyncio.sleep(CUT_S)
    run.heal(rules, faults)
    await asyncio.sleep(RECOVERY_S)


async def freeze_primary(run: ScenarioRun) -> None:
    """Freeze the primary core for 20 s, then let it go on."""
    await _freeze(run, await run.fleet.primary(), "primary-frozen")


async def freeze_placer(run: ScenarioRun) -> None:
    """Freeze the placer's process for 20 s, then let it go on."""
    await _freeze(run, await run.fleet.role_owner("placer"), "placer-frozen")


async def _freeze(run: ScenarioRun, victim: str, kind: str) -> None:
    run.fleet.freeze(victim)
    faults = run.begin(kind, victim)
    await asyncio.sleep(CUT_S)
    run.fleet.thaw(victim)
    run.end(faults)
    await asyncio.sleep(RECOVERY_S)


async def lose_disk(run: ScenarioRun) -> None:
    """Kill a core, delete its disk, and start it again blank."""
    cores = [core.node.node_id for core in run.fleet.deployment.cores]
    victim = run.random.choice(cores)
    run.fleet.kill(victim)
    run.fleet.lose_disk(victim)
    faults = run.begin("disk-lost", victim)
    await asyncio.sleep(DOWN_S)
    run.fleet.start_process(victim)
    run.end(faults)
    await asyncio.sleep(RECOVERY_S)


async def lose_all_disks(run: ScenarioRun) -> None:
    """Lose the disks of all cores; the runbook recover-cores puts a front's configuration again."""
    await run.stop_changes()
    await run.change()
    cores = [core.node.node_id for core in run.fleet.deployment.cores]
    for name in cores:
        run.fleet.kill(name)
        run.fleet.lose_disk(name)
    faults = run.begin("all-disks-lost", *cores)
    for name in cores:
        run.fleet.start_process(name)
    await asyncio.sleep(RECOVERY_S / 2)
    if await run.fleet.primary():
        run.problems.append("blank cores formed a group although fronts hold a configuration")
    addresses = [run.fleet.listening(run.fleet.nodes[name].http_address) for name in cores]
    await run.run_runbook("recover-cores", cores=",".join(addresses))
    run.end(faults)
    await run.check_reads_back()
    await asyncio.sleep(RECOVERY_S)


async def replica_leaving(run: ScenarioRun) -> None:
    """Show a model replica as leaving, take it away, and list it again."""
    site = run.fleet.deployment
    replica = await busiest_replica(run.fleet)
    faults = run.begin("replica-leaving", replica.replica_id)
    body = {"replica_id": replica.replica_id}
    await run.fleet.lab(site.platform.address, "/lab/leaving", body)
    await asyncio.sleep(CUT_S / 2)
    await run.fleet.lab(replica.address, "/lab/restart", {"down_s": DOWN_S})
    await asyncio.sleep(DOWN_S)
    await run.fleet.lab(site.platform.address, "/lab/leaving", {**body, "leaving": False})
    run.end(faults)
    await asyncio.sleep(RECOVERY_S)


async def zone_emptied(run: ScenarioRun) -> None:
    """Empty a zone and take it back."""
    zone = run.random.choice(list(run.fleet.deployment.zone_regions))
    await run.stop_changes()
    faults = run.begin("zone-emptied", zone)
    await run.fleet.apply("empty", zone=zone)
    await asyncio.sleep(CUT_S / 2)
    await run.fleet.apply("restore", zone=zone)
    run.end(faults)
    await asyncio.sleep(RECOVERY_S)


async def replicas_cold(run: ScenarioRun) -> None:
    """Crash all model replicas together; they come back cold."""
    site = run.fleet.deployment
    for replica in site.replicas:
        await run.fleet.lab(replica.address, "/lab/restart", {"down_s": DOWN_S})
    faults = run.begin("replicas-cold", "model replicas")
    await asyncio.sleep(DOWN_S)
    run.end(faults)
    await asyncio.sleep(RECOVERY_S + STEADY_S)


async def answers_lost(run: ScenarioRun) -> None:
    """Back ends lose, delay and cross answers of once-only requests; fronts are killed."""
    site = run.fleet.deployment
    wrong = {"lose_share": 0.1, "late_share": 0.1, "late_s": 6.0, "cross_share": 0.1}
    for backend in site.backends:
        await run.fleet.lab(backend.address, "/lab/faults", wrong)
    faults = run.begin("answers-lost", site.backends[0].backend)
    for _ in range(3):
        victim = run.random.choice(site.fronts).node_id
        run.fleet.kill(victim)
        killed = run.begin("front-killed", victim)
        await asyncio.sleep(DOWN_S)
        run.fleet.start_process(victim)
        run.end(killed)
    for backend in site.backends:
        await run.fleet.lab(backend.address, "/lab/faults", {})
    run.end(faults)
    await asyncio.sleep(RECOVERY_S)


async def broken_streams(run: ScenarioRun) -> None:
    """One replica breaks, repeats, skips and falsifies its streams, one after the other."""
    replica = await busiest_replica(run.fleet)
    faults = run.begin("streams-spoiled", replica.replica_id)
    for wrong in ({"break_after": 2}, {"repeat_index": 1}, {"skip_index": 1}, {"foreign_id": True}):
        await run.fleet.lab(replica.address, "/lab/faults", wrong)
        await asyncio.sleep(DOWN_S)
    await run.fleet.lab(replica.address, "/lab/faults", {})
    run.end(faults)
    await asyncio.sleep(RECOVERY_S)


async def rolling_restart(run: ScenarioRun) -> None:
    """Stop and start every daemon gracefully, one after the other."""
    for name in run.fleet.nodes:
        faults = run.begin("restarted", name)
        await run.fleet.stop_gracefully(name)
        run.fleet.start_process(name)
        run.end(faults)
        if run.fleet.nodes[name].role == "front":
            await run.fleet.wait_ready([name])
        else:
            await asyncio.sleep(DOWN_S)
    await asyncio.sleep(STEADY_S)


async def change_storm(run: ScenarioRun) -> None:
    """Send hundreds of changes as fast as they are acknowledged, invalid ones between them."""
    await run.stop_changes()
    for number in range(STORM_CHANGES):
        if number % STORM_INVALID_EVERY == 0:
            await run.expect_refusal(b'{"limits": {"retry_share": -1}}')
        await run.change()
    await run.replace_document()
    await run.check_reads_back()
    await asyncio.sleep(STEADY_S)


async def regions_parted(run: ScenarioRun) -> None:
    """Cut the link between the regions for 20 s."""
    site = run.fleet.deployment
    region = site.regions[-1]
    rules = parting(run.fleet, region)
    names = [name for name, node in run.fleet.nodes.items() if node.region == region]
    faults = run.silence("regions-parted", rules, region, *names)
    await asyncio.sleep(CUT_S)
    run.heal(rules, faults)
    await asyncio.sleep(RECOVERY_S)
