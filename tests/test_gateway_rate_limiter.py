"""The rate limits on warm replicas, which keep the slow-start bound when one restarts unnoticed."""

import unittest
from collections import Counter

from rooklug.engine import effects as fx
from rooklug.gateway.replica_rate_limiter import (
    Allowance,
    ReplicaRateLimiter,
    SlowStartBound,
    allowed_counts,
)
from rooklug.gateway.serving_fronts import serving_fronts
from rooklug.gateway.view import GatewayView
from rooklug.routing.send_shares import (
    NO_SHARE,
    STANDBY_SHARE,
    SenderRole,
    SendShare,
)
from tests.gateway_support import NAMES, GatewayFront, front, replica, route_item
from tests.test_gateway_limits import busiest_second

ROUTE = route_item("s", "/s/", execution="event_stream", service="model", affinity=True)
BOUND = SlowStartBound(1.5, 5.0)


def view_of(north: int, south: int) -> GatewayView:
    """Return a view with the given numbers of ready fronts in two regions."""
    fronts = [front(n) for n in range(1, north + 1)]
    fronts += [front(100 + n, region="south", zone="south-a") for n in range(1, south + 1)]
    return GatewayView(fronts=tuple(fronts))


class Shares(unittest.TestCase):
    def test_the_shares_of_all_serving_fronts_stay_within_the_bound(self):
        for north, south in ((8, 3), (4, 4), (1, 0), (5, 0)):
            for rate in (6.0, 10.0, 40.0):
                with self.subTest(north=north, south=south, rate=rate):
                    view, target = view_of(north, south), replica(1, "model")
                    bound = BOUND.requests(rate)
                    total = 0
                    for node in view.fronts:
                        share = view.send_shares.share_at(target.region, node.node_id)
                        if share.role in (SenderRole.OWN_REGION, SenderRole.OTHER_REGION):
                            total += allowed_counts(bound, share).share
                    self.assertLessEqual(total, bound)

    def test_the_limits_of_a_region_and_a_standby_front_stay_within_the_bound(self):
        # Two serving fronts at 10 requests and a standby front at 2 sent 21 to a cold replica that
        # may get 20, while all three were cut off from the cores.
        standby = allowed_counts(20.0, STANDBY_SHARE).limit
        for count in (2, 3, 4):
            serving = allowed_counts(20.0, SendShare(SenderRole.OWN_REGION, count)).limit
            self.assertLessEqual(serving * count + standby, 20.0)

    def test_a_front_stays_within_its_limit_in_every_second(self):
        limiter, share, times = ReplicaRateLimiter(BOUND), SendShare(SenderRole.OWN_REGION, 3), []
        for step in range(600):
            now = step / 200
            if limiter.allowance("r-1", 10.0, share, now) is not Allowance.NONE:
                limiter.record_send("r-1", now)
                times.append(now)
        self.assertEqual(busiest_second(times), allowed_counts(20.0, share).limit)

    def test_a_service_without_a_slow_start_rate_is_not_limited(self):
        limiter = ReplicaRateLimiter(BOUND)
        for _ in range(100):
            limiter.record_send("r-1", 0.0)
        self.assertIs(limiter.allowance("r-1", 0.0, NO_SHARE, 0.0), Allowance.FREE)

    def test_a_front_without_a_share_sends_one_request_a_second(self):
        limiter = ReplicaRateLimiter(BOUND)
        self.assertIs(limiter.allowance("r-1", 10.0, NO_SHARE, 0.0), Allowance.FREE)
        limiter.record_send("r-1", 0.0)
        self.assertIs(limiter.allowance("r-1", 10.0, NO_SHARE, 0.5), Allowance.NONE)

    def test_removed_replicas_are_forgotten(self):
        limiter = ReplicaRateLimiter(BOUND)
        limiter.record_send("r-1", 0.0)
        limiter.forget_except({"r-2"})
        self.assertEqual(limiter._sent_at, {})


class WithoutLease(unittest.TestCase):
    def test_a_front_whose_lease_has_lapsed_does_not_exceed_its_share(self):
        gateway = GatewayFront([ROUTE], [replica(1, "model")])
        share = gateway.view.send_shares.share_at("north", "front-1")
        gateway.decision.traffic.rate_limiter.bound = BOUND
        allowed = allowed_counts(BOUND.requests(10.0), share)
        self.assertLess(allowed.share, allowed.limit)
        for holds_lease, expected in ((True, allowed.limit), (False, allowed.share)):
            gateway.decision.holds_lease = lambda now, holds=holds_lease: holds
            gateway.now += 5.0
            sent = 0
            while isinstance(gateway.request("/s/1")[0], fx.HttpCall):
                sent += 1
            self.assertEqual(sent, expected)


class Overflow(unittest.TestCase):
    def send(self, gateway: GatewayFront) -> fx.Effect:
        (effect,) = gateway.request("/s/1", headers={NAMES.prompt_parts: "aa:10,bb:10"})
        return effect

    def test_a_burst_spreads_to_other_replicas_and_is_then_rejected(self):
        gateway = GatewayFront([ROUTE], [replica(n, "model") for n in (1, 2)])
        bound = gateway.decision.traffic.rate_limiter.bound.requests(10.0)
        allowed = allowed_counts(bound, gateway.view.send_shares.share_at("north", "front-1"))
        calls = [self.send(gateway) for _ in range(2 * allowed.share)]
        self.assertEqual(
            Counter(call.address for call in calls).most_common()[-1][1], allowed.share
        )
        calls += [self.send(gateway) for _ in range(2 * (allowed.limit - allowed.share))]
        self.assertEqual(
            Counter(call.address for call in calls).most_common()[-1][1], allowed.limit
        )
        refusal = self.send(gateway)
        self.assertEqual(refusal.status, 503)
        self.assertIn("retry-after", refusal.headers)
        gateway.now += 1.2
        self.assertIsInstance(self.send(gateway), fx.HttpCall)

    def test_another_region_is_preferred_over_exceeding_the_own_share(self):
        far = replica(2, "model", region="south", zone="south-a")
        gateway = GatewayFront([ROUTE], [replica(1, "model"), far])
        bound = gateway.decision.traffic.rate_limiter.bound.requests(10.0)
        own_share = allowed_counts(
            bound, gateway.view.send_shares.share_at("north", "front-1")
        ).share
        addresses = [self.send(gateway).address for _ in range(own_share + 1)]
        self.assertEqual(addresses, ["10.0.0.1:80"] * own_share + [far.address])


class ServingFronts(unittest.TestCase):
    def test_zones_alternate_and_core_machines_come_last(self):
        zones = {1: "a", 2: "a", 3: "b", 4: "b", 5: "b", 6: "b", 7: "a", 8: "a"}
        fronts = [front(number, zone=zone) for number, zone in zones.items()]
        chosen = serving_fronts(fronts, frozenset({"10.1.0.1", "10.1.0.3"}))
        self.assertEqual([node.node_id for node in chosen], ["front-2", "front-4"])

    def test_every_front_of_a_small_region_serves(self):
        fronts = [front(1)]
        self.assertEqual(serving_fronts(fronts, frozenset({"10.1.0.1"})), fronts)


if __name__ == "__main__":
    unittest.main()
