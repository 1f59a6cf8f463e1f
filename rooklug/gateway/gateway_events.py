"""Internal events between the gateway's components."""

import attrs

from rooklug.engine.component import InternalEvent
from rooklug.gateway.requests import InboundRequest
from rooklug.gateway.view import GatewayView
from rooklug.wire.generated.control.ttypes import ReplicasBody


@attrs.frozen
class ViewChanged(InternalEvent):
    """This front decides by a newer snapshot from now on."""

    view: GatewayView


@attrs.frozen
class RequestCounted(InternalEvent):
    """A client's request for a service has arrived on a route."""

    request: InboundRequest
    service: str
    route: str


@attrs.frozen
class ReplicasListed(InternalEvent):
    """At the primary: the platform's list has changed."""

    body: ReplicasBody
