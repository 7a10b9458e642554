"""Codec of the questions for what was read from the platform's log, and the answers."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from result import Err, Ok, Result

from corianderrelay.protocol.foreign_record import Number, Port, ShortText

from ...state.direct.log_position import LogPosition
from ...state.direct.runner_list import RegisteredRunner
from ...state.direct.store_news import RunnerChange, StoreAnswer, StoreQuestion

_Age = Annotated[float, msgspec.Meta(ge=0.0)]


class _Position(msgspec.Struct, array_like=True):
    era: Number
    offset: Number
    mark: ShortText = ""


class _Question(msgspec.Struct, array_like=True):
    entry_id: str
    asked_at: float
    runner_position: _Position | None
    others_failed: bool


class _Runner(msgspec.Struct, array_like=True):
    runner_id: str
    service: str
    host: str
    port: Port
    zone: str
    slots: int
    leaving: bool
    started_ms: int
    cold_left_s: _Age = 0.0


class _Change(msgspec.Struct, array_like=True):
    runner_id: str
    runner: _Runner | None


class _Answer(msgspec.Struct, array_like=True):
    entry_id: str
    asked_at: float
    config_position: _Position
    config_age_s: _Age
    config_read_again_s: _Age
    runner_position: _Position
    runner_age_s: _Age
    runners_read_again_s: _Age
    removal_delay_s: _Age
    changes: list[_Change] | None
    quarantine_position: _Position | None


_POSITIONS = ("config_position", "runner_position", "quarantine_position")
_ENCODER = msgspec.msgpack.Encoder()
_QUESTION_DECODER = msgspec.msgpack.Decoder(_Question)
_ANSWER_DECODER = msgspec.msgpack.Decoder(_Answer)


def encode_question(question: StoreQuestion) -> bytes:
    """Encode a question."""
    return _ENCODER.encode(
        _Question(
            question.entry_id,
            question.asked_at,
            _encode_position(question.runner_position),
            question.others_failed,
        )
    )


def decode_question(datagram: bytes) -> Result[StoreQuestion, str]:
    """Decode a question; the error states what is malformed."""
    try:
        question = _QUESTION_DECODER.decode(datagram)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(str(error))
    return Ok(
        StoreQuestion(
            question.entry_id,
            question.asked_at,
            _decode_position(question.runner_position),
            question.others_failed,
        )
    )


def encode_answer(answer: StoreAnswer) -> bytes:
    """Encode an answer."""
    fields: dict[str, Any] = {
        name: getattr(answer, name) for name in _Answer.__struct_fields__
    }
    for name in _POSITIONS:
        fields[name] = _encode_position(fields[name])
    if answer.changes is not None:
        fields["changes"] = [
            _Change(change.runner_id, _encode_runner(change.runner))
            for change in answer.changes
        ]
    return _ENCODER.encode(_Answer(**fields))


def decode_answer(datagram: bytes) -> Result[StoreAnswer, str]:
    """Decode an answer; the error states what is malformed."""
    try:
        answer = _ANSWER_DECODER.decode(datagram)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(str(error))
    fields: dict[str, Any] = {
        name: getattr(answer, name) for name in _Answer.__struct_fields__
    }
    for name in _POSITIONS:
        fields[name] = _decode_position(fields[name])
    if answer.changes is not None:
        fields["changes"] = tuple(
            RunnerChange(change.runner_id, _decode_runner(change.runner))
            for change in answer.changes
        )
    return Ok(StoreAnswer(**fields))


def _encode_position(position: LogPosition | None) -> _Position | None:
    if position is None:
        return None
    return _Position(position.era, position.offset, position.mark)


def _decode_position(position: _Position | None) -> LogPosition | None:
    if position is None:
        return None
    return LogPosition(position.era, position.offset, position.mark)


def _encode_runner(runner: RegisteredRunner | None) -> _Runner | None:
    if runner is None:
        return None
    return _Runner(*(getattr(runner, name) for name in _Runner.__struct_fields__))


def _decode_runner(runner: _Runner | None) -> RegisteredRunner | None:
    return (
        None if runner is None else RegisteredRunner(*msgspec.structs.astuple(runner))
    )


__all__ = ["decode_answer", "decode_question", "encode_answer", "encode_question"]
