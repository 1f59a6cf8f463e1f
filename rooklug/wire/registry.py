"""Thrift struct classes by name, found in the generated packages."""

import importlib
import inspect
import pkgutil
from functools import cache

from rooklug.wire import generated


class DuplicateStructError(Exception):
    """Two thrift structs have one name; frames identify a struct by its name alone."""


@cache
def struct_classes() -> dict[str, type]:
    """Return every generated struct class by its name.

    Raises
    ------
    DuplicateStructError
        Two definitions use one name: a fault of the IDL files.
    """
    classes: dict[str, type] = {}
    for package in pkgutil.iter_modules(generated.__path__, generated.__name__ + "."):
        module = importlib.import_module(f"{package.name}.ttypes")
        for name, struct_class in inspect.getmembers(module, inspect.isclass):
            if struct_class.__module__ != module.__name__:
                continue
            if name in classes:
                raise DuplicateStructError(f"two thrift structs are named {name}")
            classes[name] = struct_class
    return classes
