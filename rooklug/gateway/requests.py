"""Parses a client's request, and selects the headers that are forwarded."""

import zlib

import attrs

from rooklug.engine.events import HttpRequestArrived
from rooklug.gateway.protocols import HeaderNames

_HOP_BY_HOP_HEADERS = frozenset(
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
class PrefixBlock:
    """One block of a prompt that a KV cache may hold, as identified by the client."""

    block_id: str
    tokens: int


@attrs.frozen
class InboundRequest:
    """One attempt of a client; a client's retry is a new attempt.

    ``deadline_s`` is how long the client waits, in seconds from arrival, None if it isn't stated.
    ``prefix_blocks`` are the blocks of the prompt in order; the last one is usually unique to it.
    ``prompt_tokens`` and ``answer_tokens`` are as stated by the client, 0 if not stated.
    """

    http_id: int
    method: str
    target: str
    host: str
    path: str
    request_id: str
    deadline_s: float | None
    prefix_blocks: tuple[PrefixBlock, ...]
    prompt_tokens: int
    answer_tokens: int
    headers: dict[str, str]
    body: bytes

    @property
    def draw(self) -> float:
        """A number in [0, 1) derived from the request id, for weighted choices."""
        return (zlib.crc32(self.request_id.encode()) & 0xFFFFFF) / 0x1000000


def read_request(event: HttpRequestArrived, names: HeaderNames) -> InboundRequest:
    """Parse the request of an HTTP event; header fields that can't be parsed are ignored."""
    headers = event.headers
    counts = _integers(headers.get(names.token_counts, ""))
    return InboundRequest(
        http_id=event.request_id,
        method=event.method,
        target=event.target,
        host=headers.get("host", ""),
        path=event.path,
        request_id=headers.get(names.request_id, ""),
        deadline_s=_milliseconds(headers.get(names.deadline_ms, "")),
        prefix_blocks=_prefix_blocks(headers.get(names.prompt_parts, "")),
        prompt_tokens=counts[0] if counts else 0,
        answer_tokens=counts[1] if len(counts) > 1 else 0,
        headers=headers,
        body=event.body,
    )


def end_to_end(headers: dict[str, str]) -> dict[str, str]:
    """Return the end-to-end headers, without those that apply to a single connection."""
    named = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    return {
        name: value
        for name, value in headers.items()
        if name not in _HOP_BY_HOP_HEADERS and name not in named
    }


def _milliseconds(text: str) -> float | None:
    try:
        return max(float(text), 0.0) / 1000.0
    except ValueError:
        return None


def _integers(text: str) -> list[int]:
    items = [item.strip() for item in text.split(",")]
    return [int(item) for item in items if item.isascii() and item.isdigit()]


def _prefix_blocks(text: str) -> tuple[PrefixBlock, ...]:
    blocks = []
    for item in text.split(","):
        block_id, _, tokens = item.strip().partition(":")
        if block_id and tokens.isascii() and tokens.isdigit():
            blocks.append(PrefixBlock(block_id, int(tokens)))
    return tuple(blocks)
