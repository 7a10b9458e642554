"""Decodes JSON into a typed value and reports all faults at once.

The fast path is a strict decode, which stops at the first fault. Only if it fails is
the value validated against the JSON schema of its type, which finds all faults but
costs memory and time.
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


def decode_checked(raw: bytes, struct_type: type[T]) -> Result[T, list[Fault]]:
    """Decode ``raw`` as JSON of type ``struct_type``.

    :param raw: UTF-8 JSON text.
    :param struct_type: a ``msgspec.Struct`` class.
    :returns: the typed value, or all faults found.
    """
    try:
        return Ok(msgspec.json.decode(raw, type=struct_type))
    except RecursionError:
        fault = Fault("$", "it is nested too deeply", "reduce the nesting")
        return Err([fault])
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(_all_faults(raw, struct_type, error))


def _all_faults(raw: bytes, struct_type: type[Any], error: Exception) -> list[Fault]:
    # The strict decode may stop at an unknown key before it reaches a syntax error.
    try:
        value = msgspec.json.decode(raw)
    except RecursionError:
        return [Fault("$", "it is nested too deeply", "reduce the nesting")]
    except (msgspec.DecodeError, UnicodeDecodeError) as syntax_error:
        return [Fault("$", f"it is not JSON ({syntax_error})", "correct the syntax")]
    return _schema_faults(value, struct_type) or [_strict_decode_fault(error)]


def _strict_decode_fault(error: Exception) -> Fault:
    reason, _, path = str(error).partition(" - at `")
    return Fault(path.rstrip("`") or "$", reason, "use a value of that type")


def _schema_faults(value: Any, struct_type: type[Any]) -> list[Fault]:
    # Imported only on failure, to save memory and startup time with valid settings.
    from jsonschema import Draft202012Validator

    schema = msgspec.json.schema(struct_type)
    errors = Draft202012Validator(schema).iter_errors(value)
    ordered = sorted(errors, key=lambda error: [str(part) for part in error.path])
    return [fault for error in ordered for fault in _faults_of_error(error)]


def _faults_of_error(error: Any) -> Iterator[Fault]:
    path = "".join(_path_step(part) for part in error.absolute_path)
    if error.validator == "additionalProperties":
        yield from _unknown_key_faults(f"${path}", error)
    elif error.validator == "required":
        yield from _missing_key_faults(f"${path}", error)
    elif error.validator == "anyOf":
        yield from _any_of_faults(f"${path}", error)
    else:
        yield Fault(
            f"${path}",
            error.message,
            _REMEDY_BY_VALIDATOR.get(error.validator, _default_remedy)(),
        )


def _path_step(part: str | int) -> str:
    return f"[{part}]" if isinstance(part, int) else f".{part}"


def _unknown_key_faults(path: str, error: Any) -> Iterator[Fault]:
    known = list(error.schema.get("properties", {}))
    for key in sorted(set(error.instance) - set(known)):
        nearest = difflib.get_close_matches(key, known, n=1, cutoff=0.4)
        remedy = f"did you mean {nearest[0]!r}?" if nearest else "remove it"
        yield Fault(f"{path}.{key}", "unknown key", remedy)


def _missing_key_faults(path: str, error: Any) -> Iterator[Fault]:
    missing = [key for key in error.validator_value if key not in error.instance]
    # The validator reports one error per missing key; keep only the key it names.
    named = [key for key in missing if error.message.startswith(repr(key))]
    for key in named:
        yield Fault(f"{path}.{key}", "missing", "add this key")


def _any_of_faults(path: str, error: Any) -> Iterator[Fault]:
    inner_errors = [
        inner
        for inner in error.context
        if inner.validator != "type" or len(inner.absolute_path) > len(error.path)
    ]
    if inner_errors and isinstance(error.instance, dict):
        for inner in inner_errors:
            yield from _faults_of_error(inner)
    else:
        yield Fault(path, error.message.split("\n")[0], "use one of the allowed forms")


def _default_remedy() -> str:
    return "see the settings reference for the allowed values"


_REMEDY_BY_VALIDATOR = {
    "type": lambda: "use a value of that type",
    "enum": lambda: "use one of the listed values",
    "minimum": lambda: "raise it to the stated minimum",
    "exclusiveMinimum": lambda: "use a larger value",
    "maximum": lambda: "lower it to the stated maximum",
    "pattern": lambda: "use a value that matches the pattern",
    "minItems": lambda: "add at least one item",
    "minLength": lambda: "use at least one character",
}


__all__ = ["decode_checked"]
