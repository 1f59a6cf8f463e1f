"""Overrides module constants of rooklug for one experiment.

An experiment names a constant as ``MODULE.NAME``, with ``rooklug.gateway.`` or
``rooklug.routing.`` left out: ``serving_fronts.SERVING_SHARE=0.1``.
"""

import ast
import importlib
from types import ModuleType

import attrs

PACKAGES = ("rooklug.routing", "rooklug.gateway")


class SettingError(ValueError):
    """A setting that can't be parsed, or names an unknown module or constant."""


@attrs.frozen
class Setting:
    """A constant and the value that an experiment gives it."""

    module: str
    name: str
    value: object

    def apply(self) -> None:
        """Set the constant in this process."""
        setattr(_module(self.module), self.name, self.value)

    def __str__(self) -> str:
        return f"{self.module}.{self.name}={self.value!r}"


def read_setting(text: str) -> Setting:
    """Parse ``MODULE.NAME=VALUE`` with a Python literal; raise ``SettingError`` if invalid."""
    place, equals, literal = text.partition("=")
    module, dot, name = place.strip().rpartition(".")
    if not equals or not dot:
        raise SettingError(f"{text!r} is not of the form MODULE.NAME=VALUE")
    if not hasattr(_module(module), name):
        raise SettingError(f"{module} has no constant {name}")
    try:
        value = ast.literal_eval(literal.strip())
    except (ValueError, SyntaxError) as error:
        raise SettingError(f"{literal!r} is not a Python literal") from error
    return Setting(module, name, value)


def _module(name: str) -> ModuleType:
    for package in PACKAGES:
        try:
            return importlib.import_module(f"{package}.{name}")
        except ModuleNotFoundError:
            continue
    raise SettingError(f"there is no module {name} in {' or '.join(PACKAGES)}")
