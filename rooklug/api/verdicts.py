"""What a core's answer means for the operator: a final answer, or a retry."""

from typing import Any

import attrs
from multimethod import multimethod

from rooklug.api.answers import configuration_answer, error_answer, json_answer
from rooklug.config.problems import parse_problem
from rooklug.engine.effects import HttpRespond
from rooklug.wire.generated.control.ttypes import (
    DecisionRecord,
    ReadConfigurationAnswer,
    ReadDecisionsAnswer,
    SetZoneAnswer,
    SetZoneRequest,
    SubmitChangeAnswer,
    SubmitChangeRequest,
)

ACCEPTED = "accepted"
CONFLICT = "conflict"
INVALID = "invalid"
UNKNOWN = "unknown"


@attrs.frozen
class Final:
    """The operator's answer."""

    response: HttpRespond


@attrs.frozen
class Retry:
    """No answer yet. ``primary_address`` may be ""; ``maybe_taken``: the order may be stored."""

    primary_address: str
    maybe_taken: bool


Verdict = Final | Retry


@multimethod
def judge(answer: SubmitChangeAnswer, request: Any, request_id: int) -> Verdict:
    """Judge a core's answer to a change."""
    if answer.outcome == ACCEPTED:
        document = {
            "version": answer.version,
            "digest": request.digest,
            "repeated": answer.repeated,
        }
        return Final(json_answer(request_id, 200, document))
    if answer.outcome == CONFLICT:
        return Final(_conflict(answer, request, request_id))
    if answer.outcome == INVALID:
        return Final(_invalid(answer.problems, request_id))
    return Retry(answer.primary_address, maybe_taken=answer.outcome == UNKNOWN)


@judge.register
def _judge_zone_order(answer: SetZoneAnswer, request: Any, request_id: int) -> Verdict:
    """Judge a core's answer to a zone order."""
    if answer.outcome == ACCEPTED:
        document = {"zone": request.zone, "emptied": request.emptied}
        return Final(json_answer(request_id, 200, document))
    if answer.outcome == INVALID:
        return Final(_invalid(answer.problems, request_id))
    if answer.outcome == CONFLICT:
        message = "; ".join(answer.problems) or "another order stands against it"
        return Final(error_answer(request_id, 409, CONFLICT, message))
    return Retry(answer.primary_address, maybe_taken=answer.outcome == UNKNOWN)


@judge.register
def _judge_read(answer: ReadConfigurationAnswer, request: Any, request_id: int) -> Verdict:
    """Judge a core's answer to a read."""
    if not answer.ok:
        return Retry(answer.primary_address, maybe_taken=False)
    body = answer.configuration
    return Final(configuration_answer(request_id, body.version, body.digest, body.document))


@judge.register
def _judge_poll(answer: ReadDecisionsAnswer, request: Any, request_id: int) -> Verdict:
    """Judge a core's answer to a poll of decisions."""
    if not answer.ok:
        return Retry(answer.primary_address, maybe_taken=False)
    document = {
        "decisions": [_decision_document(record) for record in answer.decisions],
        "gap": answer.gap,
    }
    return Final(json_answer(request_id, 200, document))


def is_order(request: object) -> bool:
    """Return whether a request changes state, so that a lost answer leaves it unknown."""
    return isinstance(request, SubmitChangeRequest | SetZoneRequest)


def _conflict(
    answer: SubmitChangeAnswer, request: SubmitChangeRequest, request_id: int
) -> HttpRespond:
    if answer.digest:
        message = f"version {request.version} is another change already"
    else:
        message = f"the newest version is {answer.version}"
    return error_answer(
        request_id, 409, CONFLICT, message, newest=answer.version, winner_digest=answer.digest
    )


def _invalid(problems: list[str], request_id: int) -> HttpRespond:
    listed = [attrs.asdict(parse_problem(line)) for line in problems]
    message = f"refused as a whole: {len(listed)} problem(s)"
    return error_answer(request_id, 400, INVALID, message, problems=listed)


def _decision_document(record: DecisionRecord) -> dict:
    return {
        "cursor": f"{record.token.epoch}.{record.token.counter}.{record.sequence}",
        "kind": record.kind,
        "cause": record.cause,
        "summary": record.summary,
        "wall_time_ms": record.wall_time_ms,
    }
