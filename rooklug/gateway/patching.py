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

_EDITS = ("upsert", "remove")


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
    problems = _shape_problems(parsed.ok, base.ok)
    if problems:
        return Error(tuple(problems))
    return Ok(json.dumps(_patched(base.ok, parsed.ok), ensure_ascii=False).encode())


def _patched(base: dict[str, Any], patch: dict[str, Any]) -> dict[str, Any]:
    replaced = {field: value for field, value in patch.items() if field not in _EDITS}
    result = {**base, **replaced}
    for field, names in (patch.get("remove") or {}).items():
        gone = set(names)
        result[field] = [item for item in result.get(field) or [] if item.get("name") not in gone]
    for field, items in (patch.get("upsert") or {}).items():
        if isinstance(items, dict):
            result[field] = {**(result.get(field) or {}), **items}
        else:
            result[field] = _upserted(result.get(field) or [], items)
    return result


def _upserted(existing: list[dict], items: list[dict]) -> list[dict]:
    by_name = {item["name"]: item for item in items}
    replaced = [by_name.pop(item.get("name"), item) for item in existing]
    return [*replaced, *by_name.values()]


def _shape_problems(patch: Any, base: Any) -> list[Problem]:
    if not isinstance(patch, dict):
        return [Problem("$", "must be an object")]
    if not isinstance(base, dict):
        return [Problem("$", "the patched document must be an object")]
    problems = []
    for edit in _EDITS:
        value = patch.get(edit)
        if value is None:
            continue
        if not isinstance(value, dict):
            problems.append(Problem(f"$.{edit}", "must be an object of lists"))
            continue
        for field, items in value.items():
            if not _is_fitting(edit, items):
                problems.append(Problem(f"$.{edit}.{field}", "must be a list of named items"))
            elif not _can_be_edited(_edited(base, patch, field), items):
                problems.append(Problem(f"$.{edit}.{field}", "the document has no such list"))
    return problems


def _edited(base: dict[str, Any], patch: dict[str, Any], field: str) -> Any:
    """Return the value that a patch edits: its own replacement of the field, or the document's."""
    return patch[field] if field in patch and field not in _EDITS else base.get(field)


def _is_fitting(edit: str, items: Any) -> bool:
    if edit == "remove":
        return isinstance(items, list) and all(isinstance(name, str) for name in items)
    return isinstance(items, dict) or _is_list_of_named_items(items)


def _can_be_edited(existing: Any, items: Any) -> bool:
    """Return whether the document's field is of the shape that the patch edits, or missing."""
    if existing is None:
        return True
    if isinstance(items, dict):
        return isinstance(existing, dict)
    return _is_list_of_named_items(existing)


def _is_list_of_named_items(value: Any) -> bool:
    return isinstance(value, list) and all(
        isinstance(item, dict) and isinstance(item.get("name"), str) for item in value
    )
