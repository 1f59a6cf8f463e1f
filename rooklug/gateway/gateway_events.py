"""Internal events between the gateway's components."""

import attrs

from rooklug.engine.component import InternalEvent
from rooklug.gateway.requests import InboundRequest
from rooklug.gateway.view import GatewayView
from rooklug.wire.generated.control.ttypes import ReplicasBody


@attrs.frozen
class ViewChanged(InternalEvent):
    """Emitted on a front when its view has been updated."""

    view: GatewayView


@attrs.frozen
class RequestCounted(InternalEvent):
    """Emitted on a front when it accepts a client's request; counted as demand."""

    request: InboundRequest
    service: str
    route: str


@attrs.frozen
class ReplicasListed(InternalEvent):
    """Emitted on the primary when the platform's list of replicas has changed."""

    body: ReplicasBody
