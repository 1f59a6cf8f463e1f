"""Deltas between configuration documents, as JSON merge patches (RFC 7396).

A document is identified by the digest of its bytes, so a delta must reproduce them exactly. That
is checked when the delta is made, and again where it is applied.
"""

import json
from typing import Any

import attrs

from rooklug.config.json_text import canonical_bytes
from rooklug.config.patching import digest

Json = Any

MIN_DOCUMENT_BYTES = 4096
"""Smaller documents are always sent in full."""

MAX_DELTA_RATIO = 0.5
"""Largest size of a delta relative to the document; a larger one saves too little."""


@attrs.frozen
class DeltaTask:
    """The arguments of ``make_deltas``: the older documents, oldest first, and the newest."""

    bases: tuple[bytes, ...]
    target: bytes


@attrs.frozen
class ApplyTask:
    """The arguments of ``apply_delta``: the stored document, the delta, and the result's digest."""

    base: bytes
    patch: bytes
    digest: str


def make_deltas(task: DeltaTask) -> tuple[bytes | None, ...]:
    """Return the patch from each base to the target.

    None stands for a patch that is too large or doesn't reproduce the target's bytes, as for a
    target that isn't in the canonical layout. It takes long for large documents: run it
    outside the event loop.
    """
    target = json.loads(task.target)
    if canonical_bytes(target) != task.target:
        return (None,) * len(task.bases)
    return tuple(_make_delta(json.loads(base), task.target, target) for base in task.bases)


def _make_delta(base: Json, target: bytes, target_value: Json) -> bytes | None:
    patch = make_merge_patch(base, target_value)
    text = canonical_bytes(patch)
    if len(text) > MAX_DELTA_RATIO * len(target):
        return None
    return text if canonical_bytes(merge_patch(base, patch)) == target else None


def make_merge_patch(base: Json, target: Json) -> Json:
    """Return a merge patch from ``base`` to ``target``.

    Merge patches can't express a null in the target. Such a patch gives another document;
    callers must check the result.
    """
    if not isinstance(base, dict) or not isinstance(target, dict):
        return target
    patch: dict[str, Json] = {key: None for key in base if key not in target}
    for key, value in target.items():
        if key not in base:
            patch[key] = value
        elif not _json_equal(base[key], value):
            patch[key] = make_merge_patch(base[key], value)
    return patch


def _json_equal(left: Json, right: Json) -> bool:
    """Return whether two values have the same JSON text: 1, 1.0 and true are different."""
    if type(left) is not type(right):
        return False
    if isinstance(left, dict):
        return left.keys() == right.keys() and all(
            _json_equal(left[key], right[key]) for key in left
        )
    if isinstance(left, list):
        return len(left) == len(right) and all(map(_json_equal, left, right))
    return left == right


def merge_patch(target: Json, patch: Json) -> Json:
    """Return the result of a merge patch (RFC 7396); ``target`` isn't modified."""
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = merge_patch(result.get(key), value)
    return result


def apply_delta(task: ApplyTask) -> bytes | None:
    """Return the new document, or None if the delta doesn't give the one with the digest.

    The lenient ``json`` module is enough here: the primary has validated the base, and the
    digest shows whether the result is exact.
    """
    try:
        document = canonical_bytes(merge_patch(json.loads(task.base), json.loads(task.patch)))
    except (ValueError, RecursionError):
        return None
    return document if digest(document) == task.digest else None
