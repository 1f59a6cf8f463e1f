"""Formats plain-text tables."""

from collections.abc import Iterable, Sequence

_GAP = "  "


def format_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a table with left-aligned columns, one line per row, without trailing blanks."""
    lines = [[str(cell) for cell in row] for row in (headings, *rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(headings))]
    return "\n".join(_line(line, widths) for line in lines)


def _line(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return _GAP.join(padded).rstrip()
