"""Decodes JSON into a typed value and reports every fault at once.

The fast path is a strict decode. Only when that fails is the value checked against
the JSON schema of its type, which finds all faults but costs memory and time.
"""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from result import Err, Ok, Result

from ..state.faults import Fault

if TYPE_CHECKING:
    from collections.abc import Iterator

T = TypeVar("T")


def decode_checked(raw: bytes, kind: type[T]) -> Result[T, list[Fault]]:
    """Decode ``raw`` as JSON of type ``kind``.

    :param raw: UTF-8 JSON text.
    :param kind: a ``msgspec.Struct`` class.
    :returns: the typed value, or all faults.
    """
    try:
        return Ok(msgspec.json.decode(raw, type=kind))
    except RecursionError:
        fault = Fault("$", "it is nested too deep", "nest it less deep")
        return Err([fault])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(_faults(raw, kind, error))


def _faults(raw: bytes, kind: type[Any], error: Exception) -> list[Fault]:
    # A strict decode stops at an unknown key before it sees that the text is cut off.
    try:
        value = msgspec.json.decode(raw)
    except RecursionError:
        return [Fault("$", "it is nested too deep", "nest it less deep")]
    except (msgspec.DecodeError, UnicodeDecodeError) as syntax_error:
        return [Fault("$", f"it is not JSON ({syntax_error})", "mend the syntax")]
    return _schema_faults(value, kind) or [_fault_of_strict_decode(error)]


def _fault_of_strict_decode(error: Exception) -> Fault:
    reason, _, path = str(error).partition(" - at `")
    return Fault(path.rstrip("`") or "$", reason, "write a value of that type")


def _schema_faults(value: Any, kind: type[Any]) -> list[Fault]:
    # Imported on failure only: a process that starts cleanly never pays for it.
    from jsonschema import Draft202012Validator

    schema = msgspec.json.schema(kind)
    errors = Draft202012Validator(schema).iter_errors(value)
    ordered = sorted(errors, key=lambda error: [str(part) for part in error.path])
    return [fault for error in ordered for fault in _faults_of(error)]


def _faults_of(error: Any) -> Iterator[Fault]:
    path = "".join(_step(part) for part in error.absolute_path)
    if error.validator == "additionalProperties":
        yield from _unknown_keys(f"${path}", error)
    elif error.validator == "required":
        yield from _missing_keys(f"${path}", error)
    elif error.validator == "anyOf":
        yield from _alternatives(f"${path}", error)
    else:
        yield Fault(f"${path}", error.message, _REMEDIES.get(error.validator, _ANY)())


def _step(part: str | int) -> str:
    return f"[{part}]" if isinstance(part, int) else f".{part}"


def _unknown_keys(path: str, error: Any) -> Iterator[Fault]:
    known = list(error.schema.get("properties", {}))
    for key in sorted(set(error.instance) - set(known)):
        nearest = difflib.get_close_matches(key, known, n=1, cutoff=0.4)
        remedy = f"did you mean {nearest[0]!r}?" if nearest else "take it out"
        yield Fault(f"{path}.{key}", "unknown key", remedy)


def _missing_keys(path: str, error: Any) -> Iterator[Fault]:
    missing = [key for key in error.validator_value if key not in error.instance]
    # The validator reports each missing key on its own; take the one it names.
    named = [key for key in missing if error.message.startswith(repr(key))]
    for key in named:
        yield Fault(f"{path}.{key}", "missing", "add this key")


def _alternatives(path: str, error: Any) -> Iterator[Fault]:
    nested = [
        inner
        for inner in error.context
        if inner.validator != "type" or len(inner.absolute_path) > len(error.path)
    ]
    if nested and isinstance(error.instance, dict):
        for inner in nested:
            yield from _faults_of(inner)
    else:
        yield Fault(
            path, error.message.split("\n")[0], "write one of the allowed forms"
        )


def _ANY() -> str:
    return "see the settings reference for what is allowed here"


_REMEDIES = {
    "type": lambda: "write a value of that type",
    "enum": lambda: "write one of the listed values",
    "minimum": lambda: "raise it to the stated minimum",
    "exclusiveMinimum": lambda: "write a larger value",
    "maximum": lambda: "lower it to the stated maximum",
    "pattern": lambda: "use the stated form",
    "minItems": lambda: "add at least one item",
    "minLength": lambda: "write at least one character",
}


__all__ = ["decode_checked"]
