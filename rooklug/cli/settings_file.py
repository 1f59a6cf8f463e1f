"""Reads and checks a process's settings: a TOML file, overridden by command-line flags."""

import re
import tomllib
from functools import cache
from ipaddress import IPv4Address
from pathlib import Path
from typing import Any

import attrs
import cattrs
from cattrs.errors import ClassValidationError
from expression import Error, Ok, Result

from rooklug.model.settings import CoreSettings, NodeSettings
from rooklug.runtime.addresses import split_address
from rooklug.runtime.log import LEVELS

CORE_MEMBERS = 3
ROLE_CORE = "core"
ROLE_FRONT = "front"
ROLE_CONTROLLER = "controller"

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9_.-]*")
_NAME_FIELDS = ("node_id", "zone", "region")
_LISTEN_FIELDS = ("listen_internal", "listen_http")
_ADVERTISED_FIELDS = ("internal_address", "http_address")


@attrs.frozen
class SettingsProblem:
    """A problem of the settings; ``path`` is the name of the setting, or "" for all of them."""

    path: str
    message: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}" if self.path else self.message


@attrs.frozen
class SettingsErrors:
    """All problems found in the settings, in the order in which they are printed."""

    problems: tuple[SettingsProblem, ...]


@attrs.frozen
class SettingsInput:
    """Settings file and flags; ``flags`` contains only the flags that were given."""

    role: str
    file: str
    flags: dict[str, Any]


def read_settings(given: SettingsInput) -> Result[CoreSettings, SettingsErrors]:
    """Return the checked settings or all problems; only a core's ``members`` are not empty."""
    table = _read_file(given.file)
    if table.is_error():
        return Error(table.error)
    values = {**table.ok, **given.flags, "role": given.role}
    for listen, advertised in zip(_LISTEN_FIELDS, _ADVERTISED_FIELDS, strict=True):
        if listen in values:
            values.setdefault(advertised, values[listen])
    if given.role == ROLE_CORE:
        values.setdefault("seeds", [])
    members = values.pop("members", {})
    document = {"node": values, "members": members}
    structured = _structure(document)
    if structured.is_error():
        return structured
    problems = _problems(structured.ok)
    return Error(SettingsErrors(tuple(problems))) if problems else structured


def _read_file(file: str) -> Result[dict[str, Any], SettingsErrors]:
    if not file:
        return Ok({})
    try:
        return Ok(tomllib.loads(Path(file).read_text(encoding="utf-8")))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as problem:
        return Error(SettingsErrors((SettingsProblem(file, str(problem)),)))


def _structure(document: dict[str, Any]) -> Result[CoreSettings, SettingsErrors]:
    try:
        return Ok(_converter().structure(document, CoreSettings))
    except ClassValidationError as error:
        lines = cattrs.transform_error(error, path="", format_exception=_describe)
        return Error(SettingsErrors(tuple(_problem_of_line(line) for line in lines)))


@cache
def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(str, _strict_string)
    converter.register_structure_hook_func(lambda kind: kind == tuple[str, ...], _strict_list)
    return converter


def _strict_string(value: Any, _: type) -> str:
    if not isinstance(value, str):
        raise ValueError(f"must be a string, not {value!r}")
    return value


def _strict_list(value: Any, _: type) -> tuple[str, ...]:
    if not isinstance(value, list):
        raise ValueError(f"must be a list, not {value!r}")
    return tuple(_strict_string(element, str) for element in value)


def _describe(problem: BaseException, expected: type | None) -> str:
    if isinstance(problem, ValueError):
        return str(problem)
    return cattrs.v.format_exception(problem, expected)


def _problem_of_line(line: str) -> SettingsProblem:
    message, _, path = line.rpartition(" @ ")
    return SettingsProblem(path.lstrip(".").removeprefix("node."), message or line)


def _problems(settings: CoreSettings) -> list[SettingsProblem]:
    node = settings.node
    problems = [
        SettingsProblem(name, f"{getattr(node, name)!r} is no name: letters, digits, . _ -")
        for name in _NAME_FIELDS
        if not _NAME.fullmatch(getattr(node, name))
    ]
    for name in (*_LISTEN_FIELDS, *_ADVERTISED_FIELDS):
        problems += _address_problems(name, getattr(node, name))
    for index, seed in enumerate(node.seeds):
        problems += _address_problems(f"seeds[{index}]", seed)
    if node.platform_address:
        problems += _address_problems("platform_address", node.platform_address)
    if node.bind_ip:
        problems += _address_problems("bind_ip", f"{node.bind_ip}:0")
    if node.log_level not in LEVELS:
        problems.append(SettingsProblem("log_level", f"must be one of {', '.join(LEVELS)}"))
    role_problems = _core_problems if node.role == ROLE_CORE else _other_problems
    return problems + role_problems(settings)


def _address_problems(path: str, address: str) -> list[SettingsProblem]:
    try:
        ip, _ = split_address(address)
        IPv4Address(ip)
    except ValueError as problem:
        return [SettingsProblem(path, str(problem))]
    return []


def _core_problems(settings: CoreSettings) -> list[SettingsProblem]:
    node = settings.node
    problems = []
    if not node.data_folder:
        problems.append(SettingsProblem("data_folder", "a core needs one"))
    if len(settings.members) != CORE_MEMBERS:
        count = len(settings.members)
        problems.append(SettingsProblem("members", f"needs {CORE_MEMBERS} cores, not {count}"))
    if len(set(settings.members.values())) != len(settings.members):
        problems.append(SettingsProblem("members", "two cores have one address"))
    for member_id, address in settings.members.items():
        problems += _address_problems(f"members.{member_id}", address)
    if settings.members.get(node.node_id, node.internal_address) != node.internal_address:
        message = f"is not internal_address {node.internal_address}"
        problems.append(SettingsProblem(f"members.{node.node_id}", message))
    if settings.members and node.node_id not in settings.members:
        problems.append(SettingsProblem("members", f"{node.node_id!r} is not among them"))
    return problems


def _other_problems(settings: CoreSettings) -> list[SettingsProblem]:
    problems = []
    if not settings.node.seeds:
        problems.append(SettingsProblem("seeds", "needs the internal address of a core"))
    if settings.members:
        problems.append(SettingsProblem("members", "only a core has members"))
    return problems


def settings_fields() -> tuple[str, ...]:
    """Return the names of the settings that have a flag of the same name."""
    names = [field.name for field in attrs.fields(NodeSettings)]
    return tuple(name for name in names if name not in ("role", "seeds"))
