"""Messages between the gateway's parts."""

import attrs

from rooklug.engine.component import InternalEvent
from rooklug.gateway.requests import PassedRequest
from rooklug.gateway.view import GatewayView
from rooklug.wire.generated.control.ttypes import ReplicasBody


@attrs.frozen
class ViewChanged(InternalEvent):
    """This front goes on under a newer snapshot."""

    view: GatewayView


@attrs.frozen
class RequestCounted(InternalEvent):
    """A client's request for a service has arrived on a route."""

    request: PassedRequest
    service: str
    route: str


@attrs.frozen
class ReplicasListed(InternalEvent):
    """At the primary: the platform's list has changed."""

    body: ReplicasBody
