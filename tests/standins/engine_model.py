"""Model of the engine stand-in: answers are a deterministic function of the request."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_MAX_TOKENS = 32
_MIN_TOKENS = 4
_LENGTH_RANGE_TOKENS = 29


def model_answer(body: dict[str, Any]) -> list[str]:
    """Return the tokens of the model's answer to a chat request.

    :param body: JSON body; only ``model``, ``messages``, ``max_tokens`` and
        ``min_tokens`` are used.
    """
    limit = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
    seed = xxhash.xxh3_64_intdigest(_seed_bytes(body))
    length = _MIN_TOKENS + seed % _LENGTH_RANGE_TOKENS
    if body.get("min_tokens"):
        length = max(length, int(body["min_tokens"]))
    return [f"w{_word(seed, index):04x} " for index in range(min(limit, length))]


def prompt_of(body: dict[str, Any]) -> str:
    """Return all message contents of a chat request, joined by newlines."""
    messages: Sequence[dict[str, Any]] = body.get("messages", [])
    return "\n".join(str(message.get("content", "")) for message in messages)


def _seed_bytes(body: dict[str, Any]) -> bytes:
    seed_fields = [body.get("model"), body.get("messages")]
    return json.dumps(seed_fields, sort_keys=True).encode()


def _word(seed: int, index: int) -> int:
    return xxhash.xxh3_64_intdigest(f"{seed}/{index}".encode()) & 0xFFFF


__all__ = ["DEFAULT_MAX_TOKENS", "model_answer", "prompt_of"]
