"""Holds suspects back at an agent, also against entries that do not know of them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HoldReply:
    """An agent's reply to a request to hold a fingerprint back.

    :param in_flight: whether a request with the fingerprint is queued or running here.
    :param death_ids: ids of this engine's deaths while such a request was running,
        without those that are settled.
    :param done_trials: nonces of trials that ended here without an engine death.
    """

    in_flight: bool
    death_ids: tuple[str, ...]
    done_trials: tuple[str, ...] = ()


class SuspectGuard:
    """Tracks the fingerprints in flight at one agent and those that it holds back.

    :param agent_id: instance and incarnation; the prefix of the ids of its engine's
        deaths.
    """

    __slots__ = (
        "_agent_id",
        "_death_count",
        "_in_flight",
        "_holds",
        "_death_ids",
        "_done_trials",
    )

    def __init__(self, agent_id: str) -> None:
        self._agent_id = agent_id
        self._death_count = 0
        self._in_flight: Counter[str] = Counter()
        self._holds: dict[str, int] = {}
        self._death_ids: dict[str, tuple[str, ...]] = {}
        self._done_trials: dict[str, tuple[str, ...]] = {}

    def admit(self, fingerprint: str, *, alone: bool) -> bool:
        """Return whether the request may be queued; if so, count it as in flight.

        :param alone: whether the request is a trial, which holds do not affect.
        """
        if fingerprint in self._holds and not alone:
            return False
        self._in_flight[fingerprint] += 1
        return True

    def on_request_ended(self, fingerprint: str) -> None:
        """Count a request as no longer queued or running."""
        if self._in_flight[fingerprint] > 0:
            self._in_flight[fingerprint] -= 1

    def on_trial_done(self, fingerprint: str, nonce: str) -> None:
        """Record that a trial ended without an engine death."""
        known = self._done_trials.get(fingerprint, ())
        self._done_trials[fingerprint] = (*known, nonce)

    def on_engine_died(self, running: list[str]) -> str:
        """Hold the fingerprints of all requests that were running when the engine died.

        :return: the id of the death.
        """
        self._death_count += 1
        death_id = f"{self._agent_id}/{self._death_count}"
        for fingerprint in set(running):
            self._death_ids[fingerprint] = (
                *self._death_ids.get(fingerprint, ()),
                death_id,
            )
            self._holds.setdefault(fingerprint, -1)
        for fingerprint in running:
            self.on_request_ended(fingerprint)
        return death_id

    def hold(self, fingerprint: str, number: int) -> HoldReply:
        """Reject the fingerprint from now on, except for trials.

        :param number: the suspicion's number in the log; below 0 no hold is placed and
            the call only returns the reply.
        """
        if number >= 0:
            self._holds[fingerprint] = max(number, self._holds.get(fingerprint, -1))
        return HoldReply(
            self._in_flight[fingerprint] > 0,
            self._death_ids.get(fingerprint, ()),
            self._done_trials.get(fingerprint, ()),
        )

    def release(
        self, fingerprint: str, cleared_at: int, settled: tuple[str, ...]
    ) -> None:
        """Remove the hold unless it is newer or a death is still unsettled.

        :param cleared_at: offset in the log at which the fingerprint was cleared.
        :param settled: ids of the engine deaths of which it was cleared.
        """
        unsettled = tuple(
            death_id
            for death_id in self._death_ids.get(fingerprint, ())
            if death_id not in settled
        )
        self._death_ids[fingerprint] = unsettled
        if not unsettled and self._holds.get(fingerprint, cleared_at) < cleared_at:
            del self._holds[fingerprint]
            del self._death_ids[fingerprint]


__all__ = ["HoldReply", "SuspectGuard"]
