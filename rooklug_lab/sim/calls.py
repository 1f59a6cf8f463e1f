"""Thrift calls between simulated processes."""

from itertools import count

import attrs

from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.wire.codec import decode, encode
from rooklug_lab.sim.network import Network
from rooklug_lab.sim.process import SimulatedProcess
from rooklug_lab.sim.scheduler import Scheduler

REFUSED = "connection refused"
DEADLINE = "deadline"
CONNECTION_RESET = "connection reset"
TOO_LATE_TO_SEND = "not sent: not_after has passed"


@attrs.define(eq=False)
class _PendingCall:
    """A call in progress; ``awaiting_result`` until the caller gets one."""

    caller: SimulatedProcess
    caller_generation: int
    callee: SimulatedProcess
    callee_generation: int
    call_id: int
    awaiting_result: bool = True


class CallTransport:
    """Carries ``Call`` and ``Answer`` effects, encoded and decoded with the real codec."""

    def __init__(self, scheduler: Scheduler, network: Network) -> None:
        self._scheduler = scheduler
        self._network = network
        self._inbound: dict[tuple[str, int], _PendingCall] = {}
        self._inbound_ids = count(1)
        self.by_address: dict[str, SimulatedProcess] = {}
        self.bytes_sent: dict[str, int] = {}

    def call(self, caller: SimulatedProcess, effect: fx.Call) -> None:
        """Start a call; its result reaches the caller as ``CallAnswered`` or ``CallFailed``.

        A call to a machine that is down fails only at its deadline; one to a process that is
        down on a running machine is refused at once.
        """
        callee = self.by_address.get(effect.address)
        if effect.not_after is not None and caller.local_now() > effect.not_after:
            self._fail_soon(caller, effect.call_id, TOO_LATE_TO_SEND)
            return
        if callee is None or not (callee.running or callee.machine_up):
            self._fail_at_deadline(caller, effect)
            return
        if not callee.running:
            self._fail_soon(caller, effect.call_id, REFUSED)
            return
        pending = _PendingCall(caller, caller.generation, callee, callee.generation, effect.call_id)
        data = encode(effect.request)
        self._count_bytes(caller, len(data))
        request_type = type(effect.request)
        self._network.transmit(
            caller.place, callee.place, lambda: self._arrive(pending, request_type, data)
        )
        self._scheduler.after(
            effect.deadline_s / caller.clock_rate,
            lambda: self._complete(pending, ev.CallFailed(effect.call_id, DEADLINE, True)),
        )

    def answer(self, callee: SimulatedProcess, effect: fx.Answer) -> None:
        """Send the answer to an inbound call; dropped if the callee has restarted since."""
        pending = self._inbound.pop((callee.name, effect.call_id), None)
        if pending is None or pending.callee_generation != callee.generation:
            return
        data = encode(effect.answer)
        self._count_bytes(callee, len(data))
        answer_type = type(effect.answer)
        self._network.transmit(
            callee.place,
            pending.caller.place,
            lambda: self._complete(
                pending, ev.CallAnswered(pending.call_id, decode(answer_type, data).ok)
            ),
        )

    def process_died(self, process: SimulatedProcess) -> None:
        """Drop the inbound calls of a process that ended.

        Their callers see a connection reset if the machine is up, otherwise only their deadline.
        """
        reset_keys = [key for key, pending in self._inbound.items() if pending.callee is process]
        for key in reset_keys:
            pending = self._inbound.pop(key)
            if process.machine_up:
                event = ev.CallFailed(pending.call_id, CONNECTION_RESET, True)
                self._network.transmit(
                    process.place,
                    pending.caller.place,
                    lambda pending=pending, event=event: self._complete(pending, event),
                )

    def _arrive(self, pending: _PendingCall, request_type: type, data: bytes) -> None:
        callee = pending.callee
        if callee.generation != pending.callee_generation or not callee.running:
            event = ev.CallFailed(pending.call_id, CONNECTION_RESET, True)
            self._network.transmit(
                callee.place, pending.caller.place, lambda: self._complete(pending, event)
            )
            return
        inbound_id = next(self._inbound_ids)
        self._inbound[(callee.name, inbound_id)] = pending
        request = decode(request_type, data).ok
        callee.deliver(ev.CallArrived(inbound_id, pending.caller.place.ip, request))

    def _complete(self, pending: _PendingCall, event: ev.Event) -> None:
        if pending.awaiting_result:
            pending.awaiting_result = False
            pending.caller.deliver_if(pending.caller_generation, event)

    def _fail_soon(self, caller: SimulatedProcess, call_id: int, reason: str) -> None:
        generation = caller.generation
        event = ev.CallFailed(call_id, reason, False)
        self._scheduler.after(0.001, lambda: caller.deliver_if(generation, event))

    def _fail_at_deadline(self, caller: SimulatedProcess, effect: fx.Call) -> None:
        generation = caller.generation
        event = ev.CallFailed(effect.call_id, DEADLINE, False)
        self._scheduler.after(effect.deadline_s, lambda: caller.deliver_if(generation, event))

    def _count_bytes(self, process: SimulatedProcess, size: int) -> None:
        self.bytes_sent[process.name] = self.bytes_sent.get(process.name, 0) + size
