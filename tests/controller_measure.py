"""Measures the controller without sockets: probe rates, and the time per report and per solve.

Usage: python -m tests.controller_measure [--replicas 9 830] [--fronts 11 390]
Probe rates are counted in virtual time; times are measured on this machine's processor.
"""

import argparse
import resource
import time

from rooklug.controller.plan_body import build_plan_body
from rooklug.controller.problem_builder import build_problem
from rooklug.engine import events as ev
from rooklug.wire.codec import encode
from rooklug.wire.generated.control.ttypes import (
    DemandEntry,
    DemandReport,
    ProbeReport,
    ReplicaObservation,
)
from tests.controller_stand_ins import ALL_ROLES, FakeReplica
from tests.controller_world import World, document
from tests.test_controller_prober import PROBERS

WARM_UP_S = 40.0
WINDOW_S = 60.0
OBSERVATIONS = 50


def replicas_of(number):
    regions = ("vestland", "austland")
    return [
        FakeReplica(
            f"r{n}",
            f"127.{1 + n // 200}.1.{n % 200 + 1}:80",
            regions[n % 2],
            "vestland-a" if n % 2 == 0 else "austland-a",
        )
        for n in range(number)
    ]


def demand_report(node_id, sequence, replica_ids, tokens):
    entries = [
        DemandEntry(
            route=route,
            model=model,
            latency_class="interactive",
            source_region=region,
            requests_per_s=1.0,
            prompt_tokens_per_s=tokens,
            answer_tokens_per_s=tokens,
            refused_per_s=0.0,
        )
        for route, model in (("banter", "small"), ("dispute", "large"))
        for region in ("vestland", "austland")
    ]
    observations = [
        ReplicaObservation(
            replica_id=replica_id,
            incarnation="a",
            successes=5,
            failures=0,
            connect_failures=0,
            median_first_token_s=0.1,
        )
        for replica_id in replica_ids
    ]
    return DemandReport(
        node_id=node_id,
        node_incarnation="i",
        sequence=sequence,
        entries=entries,
        observations=observations,
    )


def probes_per_s(number, fronts, serving, loading):
    """Return the probes per second of a settled fleet, over ``WINDOW_S`` of virtual time."""
    replicas = replicas_of(number)
    for replica in replicas:
        replica.models["small"] = float("inf") if loading else 0.0
    roles = PROBERS if loading else ALL_ROLES
    world = World(replicas, document(), roles=roles)
    world.renew_leases()
    if loading:
        world.list_replicas()
    ids = sorted(world.replicas)
    counted = 0
    for second in range(int(WARM_UP_S + WINDOW_S)):
        if second == int(WARM_UP_S):
            counted = sum(replica.reports_given for replica in replicas)
        if serving:
            for front in range(min(fronts, 40)):
                first = (front * OBSERVATIONS) % number
                seen = (ids * 2)[first : first + min(OBSERVATIONS, number)]
                world.call(demand_report(f"f{front}", second + 1, seen, 1.0))
        world.run(1.0)
    return (sum(replica.reports_given for replica in replicas) - counted) / WINDOW_S


def report_times(number, fronts):
    """Return us per demand report, us per probe answer, and the result of ``solve_times_ms``."""
    world = World(replicas_of(number), document())
    world.renew_leases()
    world.run(WARM_UP_S)
    ids = sorted(world.replicas)
    seen = ids[:OBSERVATIONS]
    reports = [
        ev.CallArrived(-front - 1, "127.0.0.1:1", demand_report(f"f{front}", 1, seen, 1.0))
        for front in range(fronts)
    ]
    begun = time.perf_counter()
    for event in reports:
        world.reducer.handle(event, world.now)
    demand_us = (time.perf_counter() - begun) / fronts * 1e6
    return demand_us, probe_time_us(world), solve_times_ms(world)


def probe_time_us(world):
    """Return the microseconds that a prober takes to handle one probe's answer."""
    calls = [call for _, call in world.http if call.path == "/api/report"]
    bodies = {r.address: r.report(world.now) for r in world.replicas.values()}
    prober = world.component("prober-0")
    events = []
    for call in calls[: 4 * len(bodies)]:
        if call.address not in bodies:
            continue
        replica_id = next(r.replica_id for r in (world.by_address[call.address],))
        if replica_id in prober._targets:
            events.append(
                (replica_id, ev.HttpAnswered(call.call_id, 200, {}, bodies[call.address]))
            )
    begun = time.perf_counter()
    for replica_id, event in events:
        prober._in_flight[event.call_id] = probe_of(prober, replica_id)
        prober.handle(event, world.now)
    return (time.perf_counter() - begun) / max(1, len(events)) * 1e6


def probe_of(prober, replica_id):
    from rooklug.controller.prober import _Probe

    prober._targets[replica_id].in_flight = True
    return _Probe(replica_id, True)


def timed_ms(function, repeats=10):
    begun = time.perf_counter()
    for _ in range(repeats):
        result = function()
    return (time.perf_counter() - begun) / repeats * 1e3, result


def urgency_of_one_shard(world):
    """Make the placer answer an empty report of shard 0, as it does every 0.5 s for each shard."""
    grant = world.link.grants["prober/0"]
    return world.call(ProbeReport(node_id="c1", grant=grant, results=[]))


def solve_times_ms(world):
    """Return the milliseconds of each step around a solve, and the bytes of the encoded plan."""
    term, now = world.component("placer").term, world.now
    configuration = term._reader.configuration
    demand = term.demand.planned()
    times = {}
    times["judge"], _ = timed_ms(lambda: term.fleet.update_verdicts(now))
    held = term._moves.committed_models
    times["problem"], _ = timed_ms(
        lambda: build_problem(configuration, term.fleet, demand, held, frozenset())
    )
    times["observe"], _ = timed_ms(lambda: term._moves.observe(term.fleet, now))
    times["totals"], _ = timed_ms(lambda: term.demand.table.totals(configuration))
    times["step"], _ = timed_ms(lambda: term._moves.step(term.fleet, now))
    times["body"], body = timed_ms(
        lambda: build_plan_body(1, term.fleet, term._step.intended, term._step.matrix, "", 10, now)
    )
    times["encode"], data = timed_ms(lambda: encode(body))
    times["hints"], _ = timed_ms(lambda: urgency_of_one_shard(world))
    times["tick"], _ = timed_ms(
        lambda: world.reducer.handle(ev.TimerFired("placer/tick"), now + 1e-6)
    )
    return times, len(data)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--replicas", type=int, nargs="+", default=[9, 830])
    parser.add_argument("--fronts", type=int, nargs="+", default=[11, 390])
    arguments = parser.parse_args()
    for replicas, fronts in zip(arguments.replicas, arguments.fronts, strict=True):
        print(f"{replicas} replicas, {fronts} fronts")
        for name, serving, loading in (
            ("idle", False, False),
            ("serving", True, False),
            ("all loading", False, True),
        ):
            rate = probes_per_s(replicas, fronts, serving, loading)
            print(f"  {name}: {rate:.1f} probes/s; a prober a front: {rate * fronts:.0f}")
        demand_us, probe_us, (steps, size) = report_times(replicas, fronts)
        print(f"  demand report: {demand_us:.0f} us; probe answer: {probe_us:.0f} us")
        print("  " + "; ".join(f"{name}: {value:.2f} ms" for name, value in steps.items()))
        print(f"  plan body: {size} bytes")
    print(f"resident: {resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024} MiB")


if __name__ == "__main__":
    main()
