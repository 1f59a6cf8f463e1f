"""The operators' HTTP API of a front: parses requests and forwards them to the primary core."""

from collections.abc import Iterable

from rooklug.api.answers import configuration_answer, error_answer
from rooklug.api.forwarding import Forwarder
from rooklug.api.requests import LocalConfiguration, StatusQuery, parse_request
from rooklug.api.status import StatusCollector
from rooklug.distribution.core_link import CoreLink
from rooklug.engine import effects as fx
from rooklug.engine import events as ev
from rooklug.engine.component import BaseComponent, Component
from rooklug.engine.reducer import MetricSample, ProcessContext
from rooklug.model import topics
from rooklug.model.settings import NodeSettings


class OperatorApi(BaseComponent):
    """Serves ``/v1/config``, ``/v1/zones``, ``/v1/status`` and ``/v1/decisions``."""

    name = "operator-api"
    http_prefixes = ("/v1/config", "/v1/zones/", "/v1/status", "/v1/decisions")

    def __init__(
        self, settings: NodeSettings, context: ProcessContext, core_link: CoreLink
    ) -> None:
        self._core_link = core_link
        self._forwarder = Forwarder(context.identifiers, core_link, settings.seeds)
        self._status = StatusCollector(
            context.identifiers, core_link, settings.seeds, settings.node_id
        )
        self._responses_sent = 0

    def handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        """Handle one event and count the responses that it produces."""
        effects = self._handle(event, now)
        self._responses_sent += sum(isinstance(effect, fx.HttpRespond) for effect in effects)
        return effects

    def metrics(self, now: float) -> Iterable[MetricSample]:
        """Return the number of waiting requests and of responses sent."""
        return (
            MetricSample(
                "rooklug_operator_requests_waiting",
                len(self._forwarder),
                "gauge",
                "Operators' requests that wait for the primary core.",
            ),
            MetricSample(
                "rooklug_operator_answers_total",
                self._responses_sent,
                "counter",
                "Answers given to operators.",
            ),
        )

    def _handle(self, event: ev.Event, now: float) -> list[fx.Effect]:
        if isinstance(event, ev.HttpRequestArrived):
            return self._on_request(event, now)
        if isinstance(event, ev.CallAnswered | ev.CallFailed) and self._status.owns(event.call_id):
            return self._status.handle(event)
        return self._forwarder.handle(event, now)

    def _on_request(self, event: ev.HttpRequestArrived, now: float) -> list[fx.Effect]:
        parsed = parse_request(event)
        if parsed.is_error():
            problem = parsed.error
            return [error_answer(event.request_id, problem.status, problem.code, problem.message)]
        request = parsed.ok
        if isinstance(request, LocalConfiguration):
            return [self._local_configuration(event.request_id)]
        if isinstance(request, StatusQuery):
            return self._status.start(event.request_id)
        return self._forwarder.start(event.request_id, request, now)

    def _local_configuration(self, request_id: int) -> fx.HttpRespond:
        body = self._core_link.body(topics.CONFIGURATION)
        if body is None:
            return configuration_answer(request_id, 0, "", b"")
        return configuration_answer(request_id, body.version, body.digest, body.document)


def build_operator_components(
    settings: NodeSettings, context: ProcessContext, core_link: CoreLink
) -> list[Component]:
    """Return the front's components for the operators' API."""
    return [OperatorApi(settings, context, core_link)]
