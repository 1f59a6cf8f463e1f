"""Parses a client's request, and selects the headers that are forwarded."""

import zlib

import attrs

from rooklug.engine.events import HttpRequestArrived
from rooklug.gateway.protocols import HeaderNames
from rooklug.model.constants import MAX_SAFE_INTEGER
from rooklug.model.input_values import MAX_INT32, finite_number_text, whole_number_text

MAX_TOKENS = MAX_INT32
"""Largest token count of a prompt, a block or an answer; messages to other fronts use ``i32``."""
MAX_PREFIX_BLOCKS = 256
"""Further blocks of a prompt are ignored, since the cost of a decision grows with them."""
_MS_PER_S = 1000.0
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
    prompt_tokens, _, answer_tokens = headers.get(names.token_counts, "").partition(",")
    return InboundRequest(
        http_id=event.request_id,
        method=event.method,
        target=event.target,
        host=headers.get("host", ""),
        path=event.path,
        request_id=headers.get(names.request_id, ""),
        deadline_s=_milliseconds(headers.get(names.deadline_ms, "")),
        prefix_blocks=_prefix_blocks(headers.get(names.prompt_parts, "")),
        prompt_tokens=_tokens(prompt_tokens) or 0,
        answer_tokens=_tokens(answer_tokens) or 0,
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
    milliseconds = finite_number_text(text, smallest=-MAX_SAFE_INTEGER)
    return None if milliseconds is None else max(milliseconds, 0.0) / _MS_PER_S


def _tokens(text: str) -> int | None:
    return whole_number_text(text.strip(), MAX_TOKENS)


def _prefix_blocks(text: str) -> tuple[PrefixBlock, ...]:
    blocks = []
    for item in text.split(",", MAX_PREFIX_BLOCKS)[:MAX_PREFIX_BLOCKS]:
        block_id, _, tokens_text = item.strip().partition(":")
        tokens = _tokens(tokens_text)
        if block_id and tokens is not None:
            blocks.append(PrefixBlock(block_id, tokens))
    return tuple(blocks)
