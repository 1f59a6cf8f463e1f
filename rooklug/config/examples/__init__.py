"""Example configurations of two deployments, as package data."""

from importlib import resources

EXAMPLE_NAMES = ("payroll", "quiz")


def read_example(name: str) -> bytes:
    """Return the bytes of the example configuration ``name`` ("payroll" or "quiz")."""
    return resources.files(__name__).joinpath(f"{name}.json").read_bytes()
