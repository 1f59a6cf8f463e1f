"""A simulated deployment in virtual time: fronts, replicas, clients and control plane."""

from random import Random

from rooklug.engine import events as ev
from rooklug.engine.reducer import Identifiers
from rooklug.gateway.build import GatewayLimits, build_executor
from rooklug.gateway.executor import GatewayExecutor
from rooklug.gateway.replica_rate_limiter import SlowStartBound
from rooklug.gateway.retry_budget import RetryBudgetSettings
from rooklug_lab.gateway.protocols import NAMES
from rooklug_lab.policy.arrivals import ArrivalPlan
from rooklug_lab.policy.clients import EmulatedClients
from rooklug_lab.policy.control import EmulatedControl
from rooklug_lab.policy.credit import Outcome, Usage, Verdict, judge
from rooklug_lab.policy.faults import DAYS
from rooklug_lab.policy.fronts import EmulatedFront
from rooklug_lab.policy.network import PolicyNetwork
from rooklug_lab.policy.replicas import EmulatedReplica, Job
from rooklug_lab.policy.shapes import PolicySite, RequestKind, ServiceShape, ZoneShape
from rooklug_lab.sim.scheduler import Scheduler

COMPLETION_WAIT_S = 6.0
"""A run continues for this time after the last arrivals, so that they can complete."""


class PolicyWorld:
    """Runs one day. Runs with the same site, day, seed and load are identical."""

    def __init__(self, site: PolicySite, day: str, seed: int, load: float = 1.0) -> None:
        self.site = site
        self.scheduler = Scheduler()
        self.random = Random(f"{seed}/world")
        self.usage = Usage()
        self.network = PolicyNetwork(site.delays, self.usage)
        self.fronts: dict[str, EmulatedFront] = {}
        self._front_at: dict[str, EmulatedFront] = {}
        self.clients = EmulatedClients(self)
        self._replicas: dict[str, EmulatedReplica] = {}
        self._starts = 0
        self._used_at: dict[str, float] = {}
        self._arrived: set[str] = set()
        self._limits = GatewayLimits(
            slow_start_bound=SlowStartBound(site.cold_overshoot, site.cold_slack),
            retry_budget=RetryBudgetSettings(site.retry_ratio, 10.0, site.retry_slack),
        )
        self._build_replicas()
        self._build_fronts()
        self.control = EmulatedControl(self)
        self.control.start()
        for front in self.fronts.values():
            front.start()
        for request in ArrivalPlan(site, Random(f"{seed}/arrivals")).draw(load):
            self.scheduler.at(request.at, lambda r=request: self.clients.begin(r))
        DAYS[day](self, Random(f"{seed}/faults"))

    @property
    def now(self) -> float:
        """Virtual time in seconds since the start of the traffic."""
        return self.scheduler.now

    def run(self) -> Verdict:
        """Run the day to its end and return its scores."""
        self.scheduler.run_until(self.site.length_s + COMPLETION_WAIT_S)
        engines = [r.engine for r in self._replicas.values() if r.engine is not None]
        self.usage.preempted += sum(engine.preempted for engine in engines)
        self.usage.tokens_read += sum(engine.tokens_read for engine in engines)
        self._record_cold_peak(self._replicas.values())
        return judge(self.site, self.clients.outcomes, self.usage)

    @property
    def outcomes(self) -> list[Outcome]:
        """The outcomes of all requests sent so far, in order of arrival."""
        return self.clients.outcomes

    # Queries and counts -------------------------------------------------------

    def replica_at(self, address: str) -> EmulatedReplica:
        """Return the latest replica at an address, running or not."""
        return self._replicas[address]

    def front_at(self, address: str) -> EmulatedFront:
        """Return the front at an address."""
        return self._front_at[address]

    def running_replicas(self) -> list[EmulatedReplica]:
        """Return the replicas that are up."""
        return [replica for replica in self._replicas.values() if replica.up]

    def tokens_per_event(self, kind: RequestKind) -> int:
        """Return the tokens per stream event of a kind; 0 if its service has no engine."""
        engine = self.site.service(kind.service).engine
        return engine.tokens_per_event if engine else 0

    def count_arrival(self, job: Job) -> None:
        """Count a request that reaches a replica, and whether its attempt reached one before."""
        self.usage.arrivals += 1
        request_id = job.call.headers[NAMES.request_id]
        self.usage.repeats += request_id in self._arrived
        self._arrived.add(request_id)

    def record_prefill(self, job: Job) -> None:
        """Record a request's latency components and the recently used blocks prefilled again."""
        sequence, now = job.sequence, self.now
        outcome = self.clients.outcome_of(job.call.headers[NAMES.request_id])
        outcome.waiting_s = sequence.began_at - sequence.arrived_at
        outcome.prefill_s = sequence.first_at - sequence.began_at
        outcome.transit_s = sequence.arrived_at - outcome.request.at
        kept = sequence.kept_tokens
        for part in sequence.parts[:-1]:
            kept -= part.tokens
            used_at = self._used_at.get(part.block_id, -self.site.prices.again_within_s)
            if kept < 0 and now - used_at < self.site.prices.again_within_s:
                self.usage.tokens_again += part.tokens
                outcome.tokens_again += part.tokens
            self._used_at[part.block_id] = now

    def record_longest_gap(self, job: Job) -> None:
        """Record the longest gap of a stream whose call has completed or failed."""
        if job.sequence is not None:
            outcome = self.clients.outcome_of(job.call.headers[NAMES.request_id])
            outcome.longest_gap_s = max(outcome.longest_gap_s, job.sequence.longest_gap_s)

    # Faults -------------------------------------------------------------------

    def at(self, moment_s: float, action) -> None:
        """Schedule a fault, in virtual seconds since the start."""
        self.scheduler.at(moment_s, action)

    def stop_replica(self, address: str, dark: bool, for_s: float) -> None:
        """Stop a replica; after ``for_s`` a new cold one starts at the same address."""
        replica = self._replicas[address]
        if not replica.up:
            return
        self.control.record_stopped(replica)
        self._record_cold_peak([replica])
        if replica.engine is not None:
            self.usage.tokens_read += replica.engine.tokens_read
        for job in replica.stop(dark):
            state = (
                ev.SendState.RESPONDING if job.last_delivered_at >= 0 else ev.SendState.MAYBE_SENT
            )
            job.deliver(ev.HttpFailed(job.call.call_id, "reset", state))
        for front in self.fronts.values():
            front.forget_connections(address)
        self.scheduler.after(for_s, lambda: self._restart_replica(replica))

    def misbehave(self, address: str, for_s: float, **conduct: object) -> None:
        """Set ``failing_share`` or ``hangs`` of a replica, and reset both after ``for_s``."""
        replica = self._replicas[address]
        for name, value in conduct.items():
            setattr(replica, name, value)

        def recover() -> None:
            replica.failing_share, replica.hangs = 0.0, False

        self.scheduler.after(for_s, recover)

    def stop_front(self, name: str, dark: bool, for_s: float) -> None:
        """Stop a front; it restarts after ``for_s``."""
        front = self.fronts[name]
        if not front.up:
            return
        front.stop(dark)
        self.clients.handle_front_stop(front, dark)
        self.scheduler.after(for_s, front.start)

    def stop_zone_replicas(self, zone: str, for_s: float) -> None:
        """Stop all replicas of a zone; connections to them are reset."""
        for replica in self.running_replicas():
            if replica.zone.name == zone:
                self.stop_replica(replica.address, False, for_s)

    def cut_region_power(self, region: str, for_s: float) -> None:
        """Cut the power of all fronts and replicas of a region."""
        for front in self.fronts.values():
            if front.zone.region == region:
                self.stop_front(front.name, True, for_s)
        for replica in self.running_replicas():
            if replica.zone.region == region:
                self.stop_replica(replica.address, True, for_s)

    def cut_front_power(self, for_s: float) -> None:
        """Cut the power of all fronts; replicas keep running."""
        for name in list(self.fronts):
            self.stop_front(name, True, for_s)

    def cut_all_power(self, for_s: float) -> None:
        """Cut the power of all fronts and replicas."""
        for region in sorted({zone.region for zone in self.site.zones}):
            self.cut_region_power(region, for_s)

    # Building -----------------------------------------------------------------

    def _build_replicas(self) -> None:
        number = 0
        for zone in self.site.zones:
            for service_name, count in zone.replicas.items():
                service = self.site.service(service_name)
                for _ in range(count):
                    number += 1
                    slowness = service.speeds[number % len(service.speeds)]
                    address = f"10.9.{number // 250}.{number % 250}:80"
                    self._start_replica(address, service, zone, slowness, 0.0)

    def _start_replica(
        self,
        address: str,
        service: ServiceShape,
        zone: ZoneShape,
        slowness: float,
        cold_until: float,
    ) -> None:
        self._starts += 1
        replica_id = f"{service.name}-{self._starts}"
        self._replicas[address] = EmulatedReplica(
            replica_id, address, service, zone, slowness, self.scheduler, cold_until
        )
        self._replicas[address].on_crash = lambda r: self.stop_replica(r.address, False, 1.0)

    def _restart_replica(self, ended: EmulatedReplica) -> None:
        cold_until = self.now + ended.service.cold_s
        self._start_replica(ended.address, ended.service, ended.zone, ended.slowness, cold_until)

    def _build_fronts(self) -> None:
        for number, zone in enumerate(self.site.zones, start=1):
            for place in range(1, zone.fronts + 1):
                name = f"front-{zone.name}-{place}"
                address = f"10.{number}.0.{place}:80"
                build = self._builder(name, zone)
                self.fronts[name] = EmulatedFront(name, address, zone, self, build)
                self._front_at[address] = self.fronts[name]

    def _builder(self, name: str, zone: ZoneShape):
        def build(random: Random, identifiers: Identifiers) -> GatewayExecutor:
            return build_executor(
                name, zone.region, zone.name, random, identifiers, NAMES, self._limits
            )

        return build

    def _record_cold_peak(self, replicas) -> None:
        for replica in replicas:
            worst = max(self.usage.worst_cold_second, replica.worst_cold_second)
            self.usage.worst_cold_second = worst
