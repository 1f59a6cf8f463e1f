"""A caller's request as the gateway sees it, and the headers that go on."""

import zlib

import attrs

from rooklug.engine.events import HttpRequestArrived
from rooklug.gateway.dialect import HeaderNames

_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


@attrs.frozen
class PromptPart:
    """One part of a prompt: its identity and its size in tokens."""

    part_id: str
    tokens: int


@attrs.frozen
class PassedRequest:
    """One attempt of a client. ``deadline_s`` is the client's patience from the arrival."""

    http_id: int
    method: str
    target: str
    host: str
    path: str
    request_id: str
    deadline_s: float | None
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    answer_tokens: int
    headers: dict[str, str]
    body: bytes

    @property
    def draw(self) -> float:
        """A number in [0, 1) that is the same for each look at this request."""
        return (zlib.crc32(self.request_id.encode()) & 0xFFFFFF) / 0x1000000


def read_request(event: HttpRequestArrived, names: HeaderNames) -> PassedRequest:
    """Return the request of an HTTP event; fields that can't be read are left out."""
    headers = event.headers
    counts = _whole_numbers(headers.get(names.token_counts, ""))
    return PassedRequest(
        http_id=event.request_id,
        method=event.method,
        target=event.target,
        host=headers.get("host", ""),
        path=event.path,
        request_id=headers.get(names.request_id, ""),
        deadline_s=_milliseconds(headers.get(names.deadline_ms, "")),
        parts=_prompt_parts(headers.get(names.prompt_parts, "")),
        prompt_tokens=counts[0] if counts else 0,
        answer_tokens=counts[1] if len(counts) > 1 else 0,
        headers=headers,
        body=event.body,
    )


def end_to_end(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers that concern more than one connection."""
    named = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    return {
        name: value
        for name, value in headers.items()
        if name not in _HOP_HEADERS and name not in named
    }


def _milliseconds(text: str) -> float | None:
    try:
        return max(float(text), 0.0) / 1000.0
    except ValueError:
        return None


def _whole_numbers(text: str) -> list[int]:
    words = [word.strip() for word in text.split(",")]
    return [int(word) for word in words if word.isascii() and word.isdigit()]


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for word in text.split(","):
        part_id, _, tokens = word.strip().partition(":")
        if part_id and tokens.isascii() and tokens.isdigit():
            parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)
