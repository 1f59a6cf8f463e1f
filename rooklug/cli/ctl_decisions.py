"""``rooklug ctl decisions``: prints decisions with their causes, resumable by cursor."""

import asyncio
import json
import sys
from datetime import UTC, datetime
from typing import Any

from rooklug.cli import exit_codes
from rooklug.cli.ctl_answers import report_failure
from rooklug.cli.operator_client import OperatorClient
from rooklug.cli.operator_requests import decisions_after

FOLLOW_WAIT_S = 10.0
_RETRY_DELAY_S = 1.0


async def print_decisions(client: OperatorClient, after: str, *, as_json: bool) -> int:
    """Print the stored decisions after the cursor ``after``; return the exit code."""
    outcome = await client.send(decisions_after(after, 0.0))
    if outcome.is_error() or outcome.ok.status != 200:
        return report_failure(outcome)
    _print_batch(outcome.ok.document(), after, as_json=as_json)
    return exit_codes.OK


async def follow_decisions(client: OperatorClient, after: str, *, as_json: bool) -> int:
    """Print decisions as they arrive, until interrupted or rejected with a 4xx status.

    Failures of a front are reported and retried after ``_RETRY_DELAY_S``.
    """
    cursor = after
    while True:
        outcome = await client.send(decisions_after(cursor, FOLLOW_WAIT_S))
        if outcome.is_ok() and outcome.ok.status == 200:
            cursor = _print_batch(outcome.ok.document(), cursor, as_json=as_json)
            continue
        code = report_failure(outcome)
        if outcome.is_ok() and 400 <= outcome.ok.status < 500:
            return code
        await asyncio.sleep(_RETRY_DELAY_S)


def _print_batch(document: dict[str, Any], cursor: str, *, as_json: bool) -> str:
    """Print the decisions of one answer; return the cursor to continue from."""
    if document.get("gap"):
        print(f"rooklug ctl: decisions right after {cursor} are gone", file=sys.stderr)
    for decision in document.get("decisions", ()):
        print(json.dumps(decision) if as_json else format_decision(decision), flush=True)
        cursor = decision["cursor"]
    return cursor


def format_decision(decision: dict[str, Any]) -> str:
    """Return a decision as one line of text."""
    seconds = decision.get("wall_time_ms", 0) / 1000
    time = datetime.fromtimestamp(seconds, UTC).isoformat(timespec="milliseconds")
    columns = (time, decision.get("cursor"), decision.get("kind"), decision.get("summary"))
    return f"{'  '.join(str(column) for column in columns)}  [{decision.get('cause')}]"
