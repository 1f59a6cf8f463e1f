"""Journals to and from their JSON form."""

from enum import Enum
from typing import Any

import attrs
import cattrs

_CONVERTER = cattrs.Converter()


def read_journal(journal_type: type, value: dict[str, Any]) -> Any:
    """Return the typed journal of what ``GET /lab/journal`` answered."""
    return _CONVERTER.structure(value, journal_type)


def journal_body(journal: Any) -> dict[str, Any]:
    """Return a journal as JSON values."""
    return attrs.asdict(journal, value_serializer=_plain)


def _plain(_instance: Any, _attribute: Any, value: Any) -> Any:
    return value.value if isinstance(value, Enum) else value
