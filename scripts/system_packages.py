"""Derive the system packages that the run-time wheels need, from their shared objects.

``python scripts/system_packages.py`` reads the pins of ``deploy/requirements.txt`` as they are
installed in this interpreter, prints the packages (Debian's names) and, one a line on standard
error, shared libraries that no package is known for. ``tests/test_system_packages.py`` compares
them with ``packages`` in ``deploy/system.toml``.
"""

import sys
from collections.abc import Iterable, Iterator
from importlib.metadata import Distribution, distribution
from pathlib import Path

import attrs
from elftools.common.exceptions import ELFError
from elftools.elf.dynamic import DynamicSection
from elftools.elf.elffile import ELFFile

ROOT = Path(__file__).resolve().parent.parent
PINS = ROOT / "deploy/requirements.txt"
BUILD_TOOLS = frozenset({"ca-certificates", "python3", "python3-pip"})
"""The build runs ``python3 -m pip`` against an index that is reached by HTTPS."""
PACKAGE_OF_LIBRARY = {
    "ld-linux-x86-64.so.2": "libc6",
    "ld-linux-aarch64.so.1": "libc6",
    "libc.so.6": "libc6",
    "libdl.so.2": "libc6",
    "libgcc_s.so.1": "libgcc-s1",
    "libm.so.6": "libc6",
    "libpthread.so.0": "libc6",
    "librt.so.1": "libc6",
    "libstdc++.so.6": "libstdc++6",
    "libutil.so.1": "libc6",
    "libz.so.1": "zlib1g",
}
"""Debian's packages by the name under which a shared object asks for a library."""


@attrs.frozen
class SystemNeeds:
    """Packages to install, and libraries that no package is known for."""

    packages: frozenset[str]
    unknown_libraries: frozenset[str]


def pinned_names(pins: Path = PINS) -> list[str]:
    """Return the names of the pinned distributions."""
    lines = [line.partition("#")[0].strip() for line in pins.read_text().splitlines()]
    return [line.partition("==")[0] for line in lines if line]


def shared_objects(found: Distribution) -> Iterator[Path]:
    """Yield the shared objects that a distribution installed."""
    for file in found.files or ():
        if ".so" in file.suffixes:
            yield Path(str(found.locate_file(file)))


def needed_libraries(path: Path) -> frozenset[str]:
    """Return the libraries that a shared object names; raises ELFError for another file."""
    with path.open("rb") as stream:
        sections = ELFFile(stream).iter_sections()
        dynamic = [section for section in sections if isinstance(section, DynamicSection)]
        return frozenset(
            tag.needed for section in dynamic for tag in section.iter_tags("DT_NEEDED")
        )


def needs_of(objects: Iterable[Path]) -> SystemNeeds:
    """Return what shared objects need beyond one another."""
    paths = list(objects)
    wanted = frozenset().union(*(needed_libraries(path) for path in paths))
    outside = wanted - {path.name for path in paths}
    known = frozenset(PACKAGE_OF_LIBRARY[name] for name in outside & PACKAGE_OF_LIBRARY.keys())
    return SystemNeeds(known | BUILD_TOOLS, outside - PACKAGE_OF_LIBRARY.keys())


def needs_of_pins(pins: Path = PINS) -> SystemNeeds:
    """Return what the pinned distributions need; they must be installed here."""
    names = pinned_names(pins)
    return needs_of(path for name in names for path in shared_objects(distribution(name)))


def main() -> int:
    """Print the packages; exit 1 if a library has none."""
    try:
        needs = needs_of_pins()
    except ELFError as problem:
        print(f"no shared object: {problem}", file=sys.stderr)
        return 1
    for name in sorted(needs.packages):
        print(name)
    for library in sorted(needs.unknown_libraries):
        print(f"no package is known for {library}", file=sys.stderr)
    return 1 if needs.unknown_libraries else 0


if __name__ == "__main__":
    sys.exit(main())
