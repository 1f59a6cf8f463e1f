"""Counts the demand that arrives at this front and reports it to the primary's planner.

Demand is counted per route, because routes differ in the regions that they may use. Prompt tokens
are scaled to those that replicas are expected to prefill: cached blocks need no work.
"""

from collections import defaultdict

import attrs

from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent
from rooklug.engine.reducer import ProcessContext
from rooklug.gateway.decision import Decision
from rooklug.gateway.gateway_events import RequestCounted
from rooklug.model.settings import NodeSettings
from rooklug.wire.generated.control.ttypes import DemandEntry, DemandReport

REPORT_INTERVAL_S = 2.0
CALL_DEADLINE_S = 1.0
_TIMER = "report"


@attrs.define
class _Count:
    requests: int = 0
    prompt_tokens: int = 0
    answer_tokens: int = 0


class DemandReporter(BaseComponent):
    """Reports the rates per route and service every ``REPORT_INTERVAL_S``, unless all are 0."""

    name = "demand"
    subscribes_to = (RequestCounted,)

    def __init__(
        self,
        settings: NodeSettings,
        context: ProcessContext,
        core_link: CoreLink,
        decision: Decision,
    ) -> None:
        self._decision = decision
        self._settings = settings
        self._context = context
        self._core_link = core_link
        self._counts: dict[tuple[str, str], _Count] = defaultdict(_Count)
        self._sequence = 0

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Count a request, or send the report when the timer fires."""
        if isinstance(event, RequestCounted):
            count = self._counts[event.route, event.service]
            count.requests += 1
            count.prompt_tokens += event.request.prompt_tokens
            count.answer_tokens += event.request.answer_tokens
        elif isinstance(event, ev.Started):
            return [fx.StartTimer(_TIMER, REPORT_INTERVAL_S)]
        elif isinstance(event, ev.TimerFired):
            return [fx.StartTimer(_TIMER, REPORT_INTERVAL_S), *self._report()]
        return []

    def _report(self) -> list[fx.Effect]:
        address = self._core_link.primary_address
        if not address or not self._counts:
            return []
        taken, self._counts = self._counts, defaultdict(_Count)
        self._sequence += 1
        report = DemandReport(
            node_id=self._settings.node_id,
            node_incarnation=self._context.incarnation,
            sequence=self._sequence,
            entries=[self._entry(key, count) for key, count in sorted(taken.items())],
            observations=[],
            read_tokens_per_s=self._decision.traffic.prefill_rate.tokens_per_s,
        )
        call_id = self._context.identifiers.next()
        return [fx.Call(call_id, address, report, CALL_DEADLINE_S)]

    def _entry(self, key: tuple[str, str], count: _Count) -> DemandEntry:
        route, service = key
        prefill_tokens = count.prompt_tokens * self._decision.traffic.prefill_share
        return DemandEntry(
            route=route,
            model=service,
            latency_class="",
            source_region=self._settings.region,
            requests_per_s=count.requests / REPORT_INTERVAL_S,
            prompt_tokens_per_s=prefill_tokens / REPORT_INTERVAL_S,
            answer_tokens_per_s=count.answer_tokens / REPORT_INTERVAL_S,
            refused_per_s=0.0,
        )
