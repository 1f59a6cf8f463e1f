"""Strategies for input that no well-behaved client, operator or platform sends."""

import json
from typing import Any

import attrs
from hypothesis import strategies as st

LONG_DIGITS = "9" * 5000


@attrs.frozen
class RawNumber:
    """A JSON number by its text, which may be one that Python doesn't convert."""

    text: str


def json_text(value: Any) -> bytes:
    """Serialise to JSON; lone surrogates are escaped, numbers are written as they are."""
    if isinstance(value, RawNumber):
        return value.text.encode()
    if isinstance(value, dict):
        members = [json.dumps(key).encode() + b":" + json_text(item) for key, item in value.items()]
        return b"{" + b",".join(members) + b"}"
    if isinstance(value, list):
        return b"[" + b",".join(map(json_text, value)) + b"]"
    return json.dumps(value).encode()


def texts() -> st.SearchStrategy[str]:
    """Return any text, with lone surrogates and control characters."""
    anything = st.text(st.characters(exclude_categories=()), max_size=12)
    return anything | st.sampled_from(["\ud83d", "a\r\nb", "\0", "é", "x" * 5000, ""])


def numbers() -> st.SearchStrategy[Any]:
    """Return numbers on both sides of the bounds of every field that may carry them."""
    bounds = [2**31, 2**53, 2**63, 2**64, 10**20]
    edges = [sign * bound + step for bound in bounds for sign in (1, -1) for step in (-1, 0, 1)]
    raw = ["1e30", "1e400", "-1e400", "NaN", "Infinity", "1.5", "-0", LONG_DIGITS]
    return st.sampled_from([*edges, 0, 1, -1]) | st.sampled_from(raw).map(RawNumber)


def header_values() -> st.SearchStrategy[str]:
    """Return header values as a server reads them: any Latin-1 text without line breaks."""
    text = st.text(st.characters(codec="latin-1", exclude_characters="\r\n"), max_size=40)
    digits = st.sampled_from([LONG_DIGITS, str(2**31), str(2**63), "nan", "1e400", "²", "1_0"])
    pairs = st.lists(st.tuples(text | digits, text | digits), max_size=4)
    return text | digits | pairs.map(lambda found: ",".join(f"{a}:{b}" for a, b in found))


def values() -> st.SearchStrategy[Any]:
    """Return JSON values of any type, to stand where another type is expected."""
    scalars = st.none() | st.booleans() | texts() | numbers()
    return st.recursive(
        scalars,
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts(), inner, max_size=3),
        max_leaves=6,
    )


def changed(document: Any, paths: list[tuple]) -> st.SearchStrategy[Any]:
    """Return copies of ``document`` in which the values at some of ``paths`` are replaced."""
    replacements = st.lists(st.tuples(st.sampled_from(paths), values()), min_size=1, max_size=3)
    return replacements.map(lambda found: _with_values(document, found))


def paths_of(value: Any, path: tuple = ()) -> list[tuple]:
    """Return the paths of all members and elements of a JSON value, at any depth."""
    if not isinstance(value, dict | list):
        return []
    found = []
    for key, inner in value.items() if isinstance(value, dict) else enumerate(value):
        found += [(*path, key), *paths_of(inner, (*path, key))]
    return found


def _with_values(document: Any, replacements: list[tuple[tuple, Any]]) -> Any:
    for path, value in replacements:
        document = with_value(document, path, value)
    return document


def with_value(document: Any, path: tuple, value: Any) -> Any:
    """Return the document with another value at ``path``; unchanged if the path is gone."""
    if not path:
        return value
    key, rest = path[0], path[1:]
    if isinstance(document, dict):
        return {**document, key: with_value(document.get(key), rest, value)}
    if isinstance(document, list) and isinstance(key, int) and key < len(document):
        changed_item = with_value(document[key], rest, value)
        return [*document[:key], changed_item, *document[key + 1 :]]
    return document
