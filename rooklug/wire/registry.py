"""Registry of the generated thrift struct classes by name."""

import importlib
import inspect
import pkgutil
from functools import cache

from rooklug.wire import generated


class DuplicateStructError(Exception):
    """Two thrift structs share a name; frames identify a struct by its name alone."""


@cache
def struct_classes() -> dict[str, type]:
    """Return every generated struct class by its name; imports the packages on first use.

    Raises
    ------
    DuplicateStructError
        Two IDL files define a struct of the same name.
    """
    classes: dict[str, type] = {}
    for package in pkgutil.iter_modules(generated.__path__, generated.__name__ + "."):
        module = importlib.import_module(f"{package.name}.ttypes")
        for name, struct_class in inspect.getmembers(module, inspect.isclass):
            if struct_class.__module__ != module.__name__:
                continue
            if name in classes:
                raise DuplicateStructError(
                    f"struct names must be unique: two in idl/ are named {name}"
                )
            classes[name] = struct_class
    return classes
