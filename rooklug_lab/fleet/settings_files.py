"""Writes the settings files of daemons (TOML)."""

import json

import attrs

from rooklug.model.settings import CoreSettings, NodeSettings


def node_toml(settings: NodeSettings) -> str:
    """Return the settings file of a front or controller."""
    values = attrs.asdict(settings, filter=lambda field, value: field.name != "role" and value)
    return "".join(f"{name} = {json.dumps(value)}\n" for name, value in values.items())


def core_toml(settings: CoreSettings) -> str:
    """Return the settings file of a core."""
    members = "".join(
        f"{json.dumps(name)} = {json.dumps(address)}\n"
        for name, address in settings.members.items()
    )
    return f"{node_toml(settings.node)}\n[members]\n{members}"
