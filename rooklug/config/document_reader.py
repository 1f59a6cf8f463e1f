"""Reads an operator's document into a ``Configuration``, or reports every problem with its path."""

import typing
from enum import Enum
from typing import Any

import attrs
import cattrs
from cattrs import AttributeValidationNote, IterableValidationNote
from cattrs.cols import homogenous_tuple_structure_factory, mapping_structure_factory
from cattrs.errors import ForbiddenExtraKeysError
from cattrs.gen import make_dict_structure_fn
from expression import Error, Ok, Result

from rooklug.config.checking import check_configuration
from rooklug.config.document import Configuration
from rooklug.config.json_text import parse_json
from rooklug.config.problems import Problem, Problems, index_path, key_path


def read_configuration(data: bytes) -> Result[Configuration, Problems]:
    """Parse and validate a complete document; an error lists all problems of the failed step.

    The steps are JSON syntax, structure, and cross checks. Each needs the result of the one
    before, so problems of later steps are not reported until the earlier step succeeds.
    """
    parsed = parse_json(data)
    if parsed.is_error():
        return Error(parsed.error)
    try:
        configuration = _CONVERTER.structure(parsed.ok, Configuration)
    except cattrs.BaseValidationError as group:
        return Error(tuple(_problems_of(group, "")))
    except _WrongTypeError as problem:
        return Error((Problem("", str(problem)),))
    problems = check_configuration(configuration)
    return Error(problems) if problems else Ok(configuration)


class _WrongTypeError(ValueError):
    """Raised for a JSON value whose type differs from the expected one."""

    def __init__(self, expected: str, value: Any) -> None:
        super().__init__(f"must be {expected}, not {_json_type(value)}")


def _json_type(value: Any) -> str:
    names = {dict: "an object", list: "a list", str: "a string", bool: "true or false"}
    if value is None:
        return "null"
    return names.get(type(value), "a number")


def _structure_string(value: Any, _type: type) -> str:
    if not isinstance(value, str):
        raise _WrongTypeError("a string", value)
    return value


def _structure_integer(value: Any, _type: type) -> int:
    if isinstance(value, float):
        raise ValueError("must be written as an integer")
    if isinstance(value, bool) or not isinstance(value, int):
        raise _WrongTypeError("an integer", value)
    return value


def _structure_float(value: Any, _type: type) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise _WrongTypeError("a number", value)
    return float(value)


def _structure_enum(value: Any, enum_type: type[Enum]) -> Enum:
    if not isinstance(value, str):
        raise _WrongTypeError("a string", value)
    for member in enum_type:
        if member.value == value:
            return member
    raise ValueError("must be one of " + ", ".join(f'"{member.value}"' for member in enum_type))


def _is_enum(candidate: Any) -> bool:
    return isinstance(candidate, type) and issubclass(candidate, Enum)


def _is_list(candidate: Any) -> bool:
    return typing.get_origin(candidate) is tuple


def _is_mapping(candidate: Any) -> bool:
    return typing.get_origin(candidate) is dict


def _require(json_type: type, expected: str, structure: Any) -> Any:
    """Wrap ``structure`` to raise ``_WrongTypeError`` for values that are not a ``json_type``."""

    def guarded(value: Any, target: Any) -> Any:
        if not isinstance(value, json_type):
            raise _WrongTypeError(expected, value)
        return structure(value, target)

    return guarded


def _structure_class(target: type, converter: cattrs.Converter) -> Any:
    structure: Any = make_dict_structure_fn(target, converter, _cattrs_forbid_extra_keys=True)
    return _require(dict, "an object", structure)


def _structure_list(target: Any, converter: cattrs.Converter) -> Any:
    return _require(list, "a list", homogenous_tuple_structure_factory(target, converter))


def _structure_mapping(target: Any, converter: cattrs.Converter) -> Any:
    return _require(dict, "an object", mapping_structure_factory(target, converter))


def _build_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=True, forbid_extra_keys=True)
    converter.register_structure_hook(str, _structure_string)
    converter.register_structure_hook(int, _structure_integer)
    converter.register_structure_hook(float, _structure_float)
    converter.register_structure_hook_func(_is_enum, _structure_enum)
    converter.register_structure_hook_factory(attrs.has, _structure_class)
    converter.register_structure_hook_factory(_is_list, _structure_list)
    converter.register_structure_hook_factory(_is_mapping, _structure_mapping)
    return converter


def _problems_of(error: BaseException, path: str) -> list[Problem]:
    if isinstance(error, cattrs.BaseValidationError):
        return [
            problem
            for inner in error.exceptions
            for problem in _problems_of(inner, _inner_path(inner, path))
        ]
    if isinstance(error, ForbiddenExtraKeysError):
        return [Problem(key_path(path, key), "unknown key") for key in sorted(error.extra_fields)]
    if isinstance(error, KeyError):
        return [Problem(key_path(path, str(error.args[0])), "required, but missing")]
    return [Problem(path, str(error))]


def _inner_path(error: BaseException, path: str) -> str:
    if isinstance(error, KeyError):
        return path
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, AttributeValidationNote):
            return key_path(path, note.name)
        if isinstance(note, IterableValidationNote):
            if isinstance(note.index, int):
                return index_path(path, note.index)
            return key_path(path, str(note.index))
    return path


_CONVERTER = _build_converter()
