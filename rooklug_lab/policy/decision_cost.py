"""Measures the processor time of one routing decision by the number of replicas.

A front gets requests at a steady rate; each runs for ``REQUEST_DURATION_S`` and then ends. The
measurement covers only the decision object: choosing a replica and recording the sent request.
"""

import time
from collections import deque
from random import Random

import attrs

from rooklug.front.outcomes import AttemptOutcome
from rooklug.gateway.decision import Decision, ServeAt
from rooklug.gateway.document import (
    Engine,
    Execution,
    GatewayConfiguration,
    Route,
    Service,
    ServiceShare,
)
from rooklug.gateway.requests import InboundRequest, PrefixBlock
from rooklug.gateway.slow_start_limiter import SlowStartLimiter
from rooklug.gateway.traffic_record import TrafficRecord
from rooklug.gateway.view import GatewayReplica, GatewayView
from rooklug.wire.generated.control.ttypes import NodeRecord, VersionMark

SIZES = (10, 65, 200, 830)
REQUESTS = 1_500
REQUESTS_PER_S = 30.0
REQUEST_DURATION_S = 0.5
FRONTS = 200
ZONES = 6
_REGIONS = ("north", "south")
_SERVICE = Service("model", "/health", 1_500, 9.0, Engine(64, 218_000))
_ROUTE = Route(
    "review",
    "host",
    "/review/",
    Execution.EVENT_STREAM,
    5.0,
    0.8,
    1,
    (ServiceShare("model", 1.0),),
    affinity=True,
    gap_objective_s=0.3,
)


@attrs.frozen
class DecisionCost:
    """Mean processor time of one decision in seconds."""

    replicas: int
    seconds: float


def measure_decision(replicas: int, requests: int = REQUESTS, seed: int = 1) -> DecisionCost:
    """Measure a deployment with this many replicas, over ``requests`` simulated requests."""
    decision = _decision(replicas)
    random = Random(seed)
    running: deque[tuple[float, int, GatewayReplica]] = deque()
    spent_s = 0.0
    for number in range(requests):
        now = number / REQUESTS_PER_S
        while running and running[0][0] <= now:
            _, call_id, replica = running.popleft()
            decision.traffic.record_response(call_id, replica, now)
            decision.traffic.record_end(call_id, replica, AttemptOutcome.SUCCESS, now)
        request = _request(number, random)
        began = time.process_time()
        verdict = decision.choose(request, _ROUTE, _SERVICE, frozenset(), now)
        if isinstance(verdict, ServeAt):
            decision.traffic.record_send(
                number, request, verdict.replica, _SERVICE, decision.view.send_shares, now
            )
        spent_s += time.process_time() - began
        if isinstance(verdict, ServeAt):
            running.append((now + REQUEST_DURATION_S, number, verdict.replica))
    return DecisionCost(replicas, spent_s / requests)


def _decision(replicas: int) -> Decision:
    random = Random(1)
    traffic = TrafficRecord(random, SlowStartLimiter("front-0"))
    decision = Decision("north", "zone-0", random, traffic)
    configuration = GatewayConfiguration(1, {"host": {"/review/": _ROUTE}}, {"model": _SERVICE})
    listed = tuple(_replica(number) for number in range(replicas))
    fronts = tuple(_front(number) for number in range(FRONTS))
    decision.apply_view(GatewayView(configuration, {"model": listed}, True, fronts=fronts))
    return decision


def _replica(number: int) -> GatewayReplica:
    return GatewayReplica(
        replica_id=f"replica-{number}",
        address=f"10.0.{number // 250}.{number % 250}:80",
        service="model",
        region=_REGIONS[number % 2],
        zone=f"zone-{number % ZONES}",
        slots=64,
        draining=False,
    )


def _front(number: int) -> NodeRecord:
    return NodeRecord(
        node_id=f"front-{number}",
        role="front",
        zone=f"zone-{number % ZONES}",
        region=_REGIONS[number % 2],
        internal_address=f"10.1.0.{number}:1",
        http_address=f"10.1.0.{number}:2",
        incarnation="1",
        ready=True,
        draining=False,
        configuration=VersionMark(1, 1),
    )


def _request(number: int, random: Random) -> InboundRequest:
    blocks = (
        PrefixBlock(f"head-{random.randrange(4)}", 2_500),
        PrefixBlock(f"subject-{random.randrange(1_000)}", 3_700),
        PrefixBlock(f"own-{number}", 2_800),
    )
    return InboundRequest(
        http_id=number,
        method="POST",
        target="/review/1",
        host="host",
        path="/review/1",
        request_id=str(number),
        deadline_s=5.0,
        prefix_blocks=blocks,
        prompt_tokens=9_000,
        answer_tokens=50,
        headers={},
        body=b"",
    )
