"""Prints the outcome of a request and returns the exit code for it."""

import hashlib
import sys

from expression import Result

from rooklug.cli import exit_codes
from rooklug.cli.operator_client import NoAnswer, OperatorAnswer

Outcome = Result[OperatorAnswer, NoAnswer]

_CODES = {400: exit_codes.INVALID, 409: exit_codes.CONFLICT, 413: exit_codes.INVALID}


def report_change(outcome: Outcome) -> int:
    """Print the outcome of a change or zone order; return the exit code."""
    if outcome.is_error() or outcome.ok.status != 200:
        return report_failure(outcome, is_order=True)
    document = outcome.ok.document()
    repeated = " (it had been taken before)" if document.get("repeated") else ""
    summary = " ".join(f"{name} {value}" for name, value in document.items() if name != "repeated")
    print(f"taken: {summary}{repeated}")
    return exit_codes.OK


def report_configuration(outcome: Outcome) -> int:
    """Write a configuration's exact bytes to standard output, after checking their digest."""
    if outcome.is_error() or outcome.ok.status != 200:
        return report_failure(outcome)
    answer = outcome.ok
    digest = answer.headers.get("x-rooklug-digest", "")
    if hashlib.sha256(answer.body).hexdigest() != digest:
        _print_error("the bytes don't have the digest that the front named")
        return exit_codes.FAILURE
    sys.stdout.buffer.write(answer.body)
    sys.stdout.buffer.flush()
    _print_error(f"version {answer.headers.get('x-rooklug-version', '?')}, sha256 {digest}")
    return exit_codes.OK


def report_failure(outcome: Outcome, *, is_order: bool = False) -> int:
    """Print why a request failed and, for an order, whether it may have been accepted."""
    if outcome.is_error():
        return _report_no_answer(outcome.error, is_order=is_order)
    answer = outcome.ok
    error = answer.document().get("error")
    error = error if isinstance(error, dict) else {}
    _print_error(f"{answer.status} {error.get('code', '')}: {error.get('message', '')}")
    for problem in error.get("problems", ()):
        _print_error(f"  {problem.get('path', '')}: {problem.get('message', '')}")
    if error.get("winner_digest"):
        _print_error(f"  the winner's sha256 is {error['winner_digest']}")
    return _CODES.get(answer.status, exit_codes.FAILURE)


def _report_no_answer(failure: NoAnswer, *, is_order: bool) -> int:
    for reason in failure.reasons:
        _print_error(f"  {reason}")
    if not is_order:
        _print_error("no answer")
        return exit_codes.UNAVAILABLE
    if failure.maybe_taken:
        _print_error("no answer: it may have been taken; run the very same command again")
        return exit_codes.UNKNOWN
    _print_error("no answer: it was certainly not taken")
    return exit_codes.UNAVAILABLE


def _print_error(text: str) -> None:
    print(f"rooklug ctl: {text}", file=sys.stderr)
