"""The model of the engine stand-in: answers are a pure function of the request."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_MAX_TOKENS = 32
_MINIMUM_TOKENS = 4
_SPREAD_TOKENS = 29


def model_answer(body: dict[str, Any]) -> list[str]:
    """Return the tokens with which the model answers a chat request.

    :param body: the JSON body; only ``model``, ``messages`` and ``max_tokens`` count.
    """
    limit = int(body.get("max_tokens") or DEFAULT_MAX_TOKENS)
    seed = xxhash.xxh3_64_intdigest(_asked(body))
    wanted = _MINIMUM_TOKENS + seed % _SPREAD_TOKENS
    if body.get("min_tokens"):
        wanted = max(wanted, int(body["min_tokens"]))
    return [f"w{_word(seed, index):04x} " for index in range(min(limit, wanted))]


def prompt_of(body: dict[str, Any]) -> str:
    """Return all message contents of a chat request, joined by newlines."""
    messages: Sequence[dict[str, Any]] = body.get("messages", [])
    return "\n".join(str(message.get("content", "")) for message in messages)


def _asked(body: dict[str, Any]) -> bytes:
    asked = [body.get("model"), body.get("messages")]
    return json.dumps(asked, sort_keys=True).encode()


def _word(seed: int, index: int) -> int:
    return xxhash.xxh3_64_intdigest(f"{seed}/{index}".encode()) & 0xFFFF


__all__ = ["DEFAULT_MAX_TOKENS", "model_answer", "prompt_of"]
