"""The HTTP requests of the operators' API, as ``OperatorRequest`` values."""

import secrets

from rooklug.cli.operator_client import OperatorRequest

_OPERATION_ID_BYTES = 16
_JSON = {"Content-Type": "application/json"}

STATUS = OperatorRequest("GET", "/v1/status")
NEWEST_CONFIGURATION = OperatorRequest("GET", "/v1/config")
LOCAL_CONFIGURATION = OperatorRequest("GET", "/v1/config/local")
READY = OperatorRequest("GET", "/v1/ready")


def put_configuration(version: int, document: bytes | None) -> OperatorRequest:
    """Return the order to apply a complete document as ``version``."""
    return OperatorRequest("PUT", f"/v1/config/{version}", document, _JSON)


def patch_configuration(base: int, version: int, patch: bytes | None) -> OperatorRequest:
    """Return the order to apply a merge patch to version ``base``, giving ``version``."""
    return OperatorRequest("PATCH", f"/v1/config/{version}?base={base}", patch, _JSON)


def zone_order(zone: str, action: str, operation_id: str = "") -> OperatorRequest:
    """Return the order to ``empty`` or ``restore`` a zone; a retry must have the same id."""
    operation_id = operation_id or secrets.token_hex(_OPERATION_ID_BYTES)
    headers = {"x-rooklug-operation-id": operation_id}
    return OperatorRequest("POST", f"/v1/zones/{zone}/{action}", b"", headers)


def decisions_after(cursor: str, wait_s: float) -> OperatorRequest:
    """Return the query for decisions after ``cursor``, which waits up to ``wait_s`` for one."""
    path = f"/v1/decisions?after={cursor}&wait_ms={int(wait_s * 1000)}"
    return OperatorRequest("GET", path, wait_s=wait_s)
