"""JSON merge patches (RFC 7396) and the digest that identifies a document's bytes."""

from hashlib import sha256

from expression import Error, Ok, Result

from rooklug.config.json_text import Json, canonical_bytes, parse_json
from rooklug.config.problems import Problem, Problems, key_path
from rooklug.model.constants import MAX_DOCUMENT_BYTES


def digest(data: bytes) -> str:
    """Return the SHA-256 of ``data`` as lower-case hexadecimal digits."""
    return sha256(data).hexdigest()


def apply_merge_patch(document: bytes, patch: bytes) -> Result[bytes, Problems]:
    """Apply a merge patch to ``document`` and return canonical JSON text.

    The result is not validated as a configuration; ``read_configuration`` does that. Paths of
    problems start with ``patch`` or ``document``, depending on which of the two is invalid.
    """
    parsed_document = parse_json(document)
    parsed_patch = parse_json(patch)
    problems = [
        *_problems_below("document", parsed_document),
        *_problems_below("patch", parsed_patch),
    ]
    if problems:
        return Error(tuple(problems))
    merged = canonical_bytes(_merge(parsed_document.ok, parsed_patch.ok))
    if len(merged) > MAX_DOCUMENT_BYTES:
        return Error((Problem("", f"patched, it is larger than {MAX_DOCUMENT_BYTES} bytes"),))
    return Ok(merged)


def _problems_below(name: str, parsed: Result[Json, Problems]) -> list[Problem]:
    if parsed.is_ok():
        return []
    return [_qualify_path(name, problem) for problem in parsed.error]


def _qualify_path(name: str, problem: Problem) -> Problem:
    if not problem.path:
        return Problem(name, problem.message)
    if problem.path.startswith("["):
        return Problem(f"{name}{problem.path}", problem.message)
    return Problem(f"{key_path('', name)}.{problem.path}", problem.message)


def _merge(target: Json, patch: Json) -> Json:
    if not isinstance(patch, dict):
        return patch
    merged = dict(target) if isinstance(target, dict) else {}
    for key, value in patch.items():
        if value is None:
            merged.pop(key, None)
        else:
            merged[key] = _merge(merged.get(key), value)
    return merged
