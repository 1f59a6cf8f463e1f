"""Runs a case: plays it, writes its record and returns the exit code that run.sh ends with."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

from small_site import Site

HELD = 10
BROKEN = 11
NOT_RUN = 12
"""Exit codes of a case's program. run.sh turns them into 0, 1 and 2, and any other into 2: an
interpreter that fails ends with 1 too."""
_LIMIT_S = 110.0


def switch(name: str) -> bool:
    """Return whether a part of the disruption is wanted: not with TROUBLE=0 or ``name``=0."""
    return os.environ.get("TROUBLE", "1") != "0" and os.environ.get(name, "1") != "0"


def run(folder: Path, play: Callable[[Site], Awaitable[int]]) -> int:
    """Play a case on a new site; its record is written to ``folder``."""
    return asyncio.run(_run(folder, play))


async def _run(folder: Path, play: Callable[[Site], Awaitable[int]]) -> int:
    site = Site()
    result = NOT_RUN
    try:
        async with asyncio.timeout(_LIMIT_S):
            result = await play(site)
    except (OSError, EOFError, ValueError, TimeoutError) as problem:
        site.note(f"the case could not run: {problem!r}")
    finally:
        site.stop()
        (folder / "record.txt").write_text("\n".join(site.lines) + "\n")
    print(site.lines[-1] if site.lines else "nothing was recorded")
    return result
