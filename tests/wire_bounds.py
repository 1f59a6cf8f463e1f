"""Checks that a struct's values are within the fields that the IDL gives them."""

from typing import Any

from thrift.Thrift import TType

INTEGER_BITS = {TType.BYTE: 8, TType.I16: 16, TType.I32: 32, TType.I64: 64}


def problems_of_fields(struct: Any) -> list[str]:
    """Return a line for each field of a generated struct whose value its type can't hold."""
    problems = []
    for field in struct.thrift_spec:
        if field is None:
            continue
        _, field_type, name, details = field[:4]
        value = getattr(struct, name)
        if value is not None and not _fits(field_type, details, value):
            problems.append(f"{type(struct).__name__}.{name}: {value!r}")
    return problems


def _fits(field_type: int, details: Any, value: Any) -> bool:
    if field_type in INTEGER_BITS:
        bound = 1 << (INTEGER_BITS[field_type] - 1)
        return type(value) is int and -bound <= value < bound
    if field_type == TType.BOOL:
        return isinstance(value, bool)
    if field_type == TType.DOUBLE:
        return isinstance(value, float)
    if field_type == TType.STRING:
        return isinstance(value, bytes) or (isinstance(value, str) and _is_utf8(value))
    if field_type == TType.LIST:
        return all(_fits(details[0], details[1], item) for item in value)
    return not problems_of_fields(value)


def _is_utf8(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
