"""Deltas between configuration documents, as JSON merge patches (RFC 7396).

A document is identified by the digest of its bytes, so a delta is of use only if it gives
exactly these bytes. That is checked before it is offered, and again where it is applied.
"""

import json
from typing import Any

import attrs

from rooklug.config.json_text import canonical_bytes
from rooklug.config.patching import digest

Json = Any

MIN_DOCUMENT_BYTES = 4096
"""Smaller documents are always sent in full."""

MAX_DELTA_SHARE = 0.5
"""A delta that isn't smaller than this share of the document isn't worth its work."""


@attrs.frozen
class DeltaTask:
    """The documents to compare: older ones, oldest first, and the newest."""

    bases: tuple[bytes, ...]
    target: bytes


@attrs.frozen
class ApplyTask:
    """A delta to apply to the document that this node has, and the digest of the result."""

    base: bytes
    patch: bytes
    digest: str


def make_deltas(task: DeltaTask) -> tuple[bytes | None, ...]:
    """Return the patch from each base to the target, or None where there is no good one."""
    target = json.loads(task.target)
    if canonical_bytes(target) != task.target:
        return (None,) * len(task.bases)
    return tuple(_make_delta(json.loads(base), task.target, target) for base in task.bases)


def _make_delta(base: Json, target: bytes, target_value: Json) -> bytes | None:
    patch = difference(base, target_value)
    text = canonical_bytes(patch)
    if len(text) > MAX_DELTA_SHARE * len(target):
        return None
    return text if canonical_bytes(merged(base, patch)) == target else None


def difference(base: Json, target: Json) -> Json:
    """Return a merge patch from ``base`` to ``target``.

    Merge patches can't express a null in the target; such a patch gives another document,
    and is found out when it is checked.
    """
    if not isinstance(base, dict) or not isinstance(target, dict):
        return target
    patch: dict[str, Json] = {key: None for key in base if key not in target}
    for key, value in target.items():
        if key not in base:
            patch[key] = value
        elif not _same(base[key], value):
            patch[key] = difference(base[key], value)
    return patch


def _same(left: Json, right: Json) -> bool:
    """Compare as JSON text would: 1, 1.0 and true are different."""
    if type(left) is not type(right):
        return False
    if isinstance(left, dict):
        return left.keys() == right.keys() and all(_same(left[key], right[key]) for key in left)
    if isinstance(left, list):
        return len(left) == len(right) and all(map(_same, left, right))
    return left == right


def merged(target: Json, patch: Json) -> Json:
    """Return ``target`` changed by a merge patch; ``target`` itself stays as it is."""
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = merged(result.get(key), value)
    return result


def apply_delta(task: ApplyTask) -> bytes | None:
    """Return the new document, or None if the delta doesn't give the one with the digest.

    The plain JSON reader is enough here: the primary has checked the base strictly, and
    the digest shows whether the result is right to the byte.
    """
    try:
        document = canonical_bytes(merged(json.loads(task.base), json.loads(task.patch)))
    except (ValueError, RecursionError):
        return None
    return document if digest(document) == task.digest else None
