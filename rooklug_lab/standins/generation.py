"""Streams of a stand-in replica: what one running request has still to send."""

import attrs

from rooklug_lab.standins.http import json_line
from rooklug_lab.standins.records import Generation


@attrs.define
class ReplicaFaults:
    """Faults that a test or scenario switches on. Indices count pieces from 0; -1: off."""

    stall_loads: bool = False
    dark: bool = False
    slow_factor: float = 1.0
    break_after: int = -1
    repeat_index: int = -1
    skip_index: int = -1
    foreign_id: bool = False
    refuse_stale_tokens: bool = True


@attrs.define
class RunningGeneration:
    """A stream in work: the caller's connection, its journal entry, and its position."""

    http_request_id: int
    record: Generation
    total_pieces: int
    next_index: int = 0
    repeated: bool = False


def piece_text(record: Generation, index: int) -> str:
    """Return a piece's text; it names the run, so that a splice of two runs shows."""
    return f"{record.request_id}|{record.replica_id}|{record.incarnation}|{record.run}|{index} "


def shown_id(record: Generation, faults: ReplicaFaults) -> str:
    """Return the request id to write, which a fault may falsify."""
    return f"foreign-{record.request_id}" if faults.foreign_id else record.request_id


def piece_line(stream: RunningGeneration, faults: ReplicaFaults) -> bytes:
    """Return the next line of the stream and move on, or spoil it as the faults say."""
    if stream.next_index == faults.skip_index:
        stream.next_index += 1
    index = stream.next_index
    stream.next_index += 1
    if index == faults.repeat_index and not stream.repeated:
        stream.repeated = True
        stream.next_index = index
    stream.record.pieces += 1
    return json_line(
        {
            "request_id": shown_id(stream.record, faults),
            "index": index,
            "piece": piece_text(stream.record, index),
        }
    )


def end_line(stream: RunningGeneration, faults: ReplicaFaults) -> bytes:
    """Return the last line of the stream."""
    return json_line(
        {
            "request_id": shown_id(stream.record, faults),
            "index": stream.next_index,
            "end": True,
            "pieces": stream.next_index,
        }
    )
