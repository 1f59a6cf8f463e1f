"""Strict parsing of a replica's answer to ``GET /api/report``."""

import json
from typing import Any

import attrs
from expression import Error, Ok, Result

from rooklug.controller.json_fields import (
    MalformedError,
    count_field,
    flag_field,
    is_count,
    number_field,
    text_field,
)

MAX_REPORT_BYTES = 256 * 1024
MAX_MODELS = 256
LOADING = "loading"
LOADED = "loaded"


@attrs.frozen
class ReportError:
    """Why a report was rejected."""

    message: str


@attrs.frozen
class ModelState:
    """One model on a replica, loaded or loading; ``age_s`` is the time in this state."""

    model: str
    loaded: bool
    age_s: float


@attrs.frozen
class ReplicaReport:
    """A model replica's report about itself.

    ``highest_token`` is the highest fencing token, (epoch, counter), that the replica has seen.
    """

    replica_id: str
    incarnation: str
    models: tuple[ModelState, ...]
    running: int
    queued: int
    concurrency: int
    tokens_per_s: float
    cached_prefix_blocks: int
    highest_token: tuple[int, int]
    warming_up: bool

    @property
    def loaded_models(self) -> tuple[str, ...]:
        """The models that are ready to serve, sorted."""
        return tuple(sorted(entry.model for entry in self.models if entry.loaded))

    @property
    def loading_models(self) -> tuple[str, ...]:
        """The models that are being loaded, sorted."""
        return tuple(sorted(entry.model for entry in self.models if not entry.loaded))


def read_report(body: bytes | str, expected_id: str) -> Result[ReplicaReport, ReportError]:
    """Parse a report; one that is not of replica ``expected_id`` is an error."""
    if len(body) > MAX_REPORT_BYTES:
        return Error(ReportError("the report is larger than 256 KiB"))
    try:
        document = json.loads(body)
        report = _read_document(document)
    except (ValueError, RecursionError) as problem:
        return Error(ReportError(str(problem)))
    if report.replica_id != expected_id:
        return Error(ReportError(f"report is of {report.replica_id!r}, not {expected_id!r}"))
    return Ok(report)


def _read_document(document: Any) -> ReplicaReport:
    if not isinstance(document, dict):
        raise MalformedError("the report must be a JSON object")
    if document.get("kind") != "model":
        raise MalformedError("kind must be 'model'")
    return ReplicaReport(
        replica_id=text_field(document, "replica_id"),
        incarnation=text_field(document, "incarnation"),
        models=_models(document.get("models")),
        running=count_field(document, "running"),
        queued=count_field(document, "queued"),
        concurrency=count_field(document, "concurrency"),
        tokens_per_s=number_field(document, "tokens_per_s"),
        cached_prefix_blocks=count_field(document, "cached_parts"),
        highest_token=_token(document.get("highest_token")),
        warming_up=flag_field(document, "cold"),
    )


def _models(value: Any) -> tuple[ModelState, ...]:
    if not isinstance(value, list) or len(value) > MAX_MODELS:
        raise MalformedError("models must be a list of at most 256 entries")
    entries = tuple(_model(entry) for entry in value)
    if len({entry.model for entry in entries}) != len(entries):
        raise MalformedError("models lists a model more than once")
    return entries


def _model(value: Any) -> ModelState:
    if not isinstance(value, dict) or value.get("state") not in (LOADING, LOADED):
        raise MalformedError(
            "each entry of models must be an object with state 'loading' or 'loaded'"
        )
    return ModelState(
        text_field(value, "model"), value["state"] == LOADED, number_field(value, "age_s")
    )


def _token(value: Any) -> tuple[int, int]:
    if not isinstance(value, list) or len(value) != 2 or not all(is_count(x) for x in value):
        raise MalformedError("highest_token must be [epoch, counter], two non-negative integers")
    return (value[0], value[1])
