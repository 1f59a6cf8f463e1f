"""Patches for configuration documents whose lists contain objects with a ``name``.

A patch is ``{"version", "upsert": {list: [item...]}, "remove": {list: [name...]}}``. An upserted
item replaces the whole item of the same name at its position, or is appended. Other fields of the
patch replace the document's.
"""

import json
from typing import Any

from expression import Error, Ok, Result

from rooklug.config.json_text import parse_json
from rooklug.config.problems import Problem, Problems


def apply_named_patch(document: bytes, patch: bytes) -> Result[bytes, Problems]:
    """Return the patched document; the error lists the problems of the patch.

    Only the shape of the patch is checked; the caller validates the result.
    """
    parsed = parse_json(patch)
    if parsed.is_error():
        return Error(parsed.error)
    base = parse_json(document)
    if base.is_error():
        return Error(base.error)
    problems = _shape_problems(parsed.ok)
    if problems:
        return Error(tuple(problems))
    return Ok(json.dumps(_patched(base.ok, parsed.ok), ensure_ascii=False).encode())


def _patched(base: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    replaced = {field: value for field, value in patch.items() if field not in ("upsert", "remove")}
    result = {**base, **replaced}
    for field, names in (patch.get("remove") or {}).items():
        gone = set(names)
        result[field] = [item for item in result.get(field, []) if item.get("name") not in gone]
    for field, items in (patch.get("upsert") or {}).items():
        if isinstance(items, dict):
            result[field] = {**result.get(field, {}), **items}
        else:
            result[field] = _upserted(result.get(field, []), items)
    return result


def _upserted(existing: list[dict], items: list[dict]) -> list[dict]:
    by_name = {item["name"]: item for item in items}
    replaced = [by_name.pop(item.get("name"), item) for item in existing]
    return [*replaced, *by_name.values()]


def _shape_problems(patch: Any) -> list[Problem]:
    if not isinstance(patch, dict):
        return [Problem("$", "must be an object")]
    problems = []
    for member in ("upsert", "remove"):
        value = patch.get(member)
        if value is None:
            continue
        if not isinstance(value, dict):
            problems.append(Problem(f"$.{member}", "must be an object of lists"))
            continue
        for field, items in value.items():
            if not _is_fitting(member, items):
                problems.append(Problem(f"$.{member}.{field}", "must be a list of named items"))
    return problems


def _is_fitting(member: str, items: Any) -> bool:
    if member == "remove":
        return isinstance(items, list) and all(isinstance(name, str) for name in items)
    if isinstance(items, dict):
        return True
    return isinstance(items, list) and all(
        isinstance(item, dict) and isinstance(item.get("name"), str) for item in items
    )
