"""Handles operators' requests, and requests of cores that join or are being stopped."""

from rooklug.core.announcer import Announcer
from rooklug.core.changes import ChangeIntake, Outcome
from rooklug.core.outbox import Outbox
from rooklug.core.primary import Primary
from rooklug.core.records import member_from_wire
from rooklug.core.store import ReplicaStore
from rooklug.wire.generated.control import ttypes as control
from rooklug.wire.generated.core import ttypes as wire


class CallHandlers:
    """Handles requests as the primary, else answers with its address ("" while unknown)."""

    def __init__(
        self,
        outbox: Outbox,
        store: ReplicaStore,
        primary: Primary,
        changes: ChangeIntake,
        announcer: Announcer,
    ) -> None:
        self._outbox = outbox
        self._store = store
        self._primary = primary
        self._changes = changes
        self._announcer = announcer

    def on_join(self, call_id: int, request: wire.JoinRequest, now: float) -> None:
        """Record the request of a core that wants to become a voting member."""
        serves = self._primary.may_serve(now)
        if serves:
            member = member_from_wire(request.member)
            self._primary.request_join(
                member, now, first_start=request.first_start, zone=request.core_zone or ""
            )
        address = self._announcer.primary_address
        self._outbox.answer(call_id, wire.JoinAnswer(noted=serves, primary_address=address))

    def on_leave(self, call_id: int, request: wire.LeaveRequest, now: float) -> None:
        """Record that a core is being stopped, so that it can be replaced at once."""
        self._primary.record_draining(request.core_id, now)
        self._outbox.answer(call_id, wire.LeaveAnswer(noted=True))

    def on_submit_change(
        self, call_id: int, request: control.SubmitChangeRequest, now: float
    ) -> None:
        """Submit a change of the configuration."""
        if self._primary.is_active(now):
            self._changes.submit(call_id, request, now)
            return
        answer = control.SubmitChangeAnswer(
            outcome=Outcome.NOT_PRIMARY.value,
            version=0,
            digest="",
            problems=[],
            primary_address=self._announcer.primary_address,
            repeated=False,
        )
        self._outbox.answer(call_id, answer)

    def on_set_zone(self, call_id: int, request: control.SetZoneRequest, now: float) -> None:
        """Submit an order to drain or restore a zone."""
        if self._primary.is_active(now):
            self._changes.submit(call_id, request, now)
            return
        address = self._announcer.primary_address
        answer = control.SetZoneAnswer(Outcome.NOT_PRIMARY.value, address, [])
        self._outbox.answer(call_id, answer)

    def on_read(self, call_id: int, request: control.ReadConfigurationRequest, now: float) -> None:
        """Answer with the committed configuration; a linearizable read requires the lease."""
        ok = self._primary.may_serve(now) or not request.linearizable
        body = self._store.state.configuration_body()
        if not ok:
            body = control.ConfigurationBody(version=0, digest="", document=b"")
        address = self._announcer.primary_address
        self._outbox.answer(call_id, control.ReadConfigurationAnswer(ok, body, address))
