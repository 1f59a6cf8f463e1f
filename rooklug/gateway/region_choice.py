"""Chooses the region that serves a request: by the plan's matrix, else the front's own."""

from rooklug.gateway.document import Route, Service
from rooklug.gateway.requests import InboundRequest
from rooklug.gateway.view import GatewayView


def region_order(
    view: GatewayView, region: str, request: InboundRequest, route: Route, service: Service
) -> tuple[str, ...]:
    """Return the regions to try first, in order, for a front in ``region``.

    The plan's first-preference cells are drawn by weight, stable per request id. If no region in
    the result has a free replica, the caller may use any other.
    """
    shares = view.region_shares(service.name, region, route.home_regions)
    first = [share for share in shares if share.preference == 0 and share.weight > 0]
    left = request.draw * sum(share.weight for share in first)
    for share in first:
        left -= share.weight
        if left < 0:
            return (share.region, region)
    return (region,)
