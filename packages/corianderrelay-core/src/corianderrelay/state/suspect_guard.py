"""An agent's guard: it holds back suspects, so that no entry runs one unawares."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HoldReply:
    """What an agent knows of a fingerprint that it holds back from now on.

    :param in_flight: whether it is queued or running here.
    :param death_ids: deaths of this engine while it ran here that are not settled.
    :param done_trials: nonces of its trials that ended without harm here.
    """

    in_flight: bool
    death_ids: tuple[str, ...]
    done_trials: tuple[str, ...] = ()


class SuspectGuard:
    """The fingerprints at one agent.

    :param agent_id: instance and incarnation; begins the ids of its engine's deaths.
    """

    __slots__ = (
        "_agent_id",
        "_deaths",
        "_in_flight",
        "_holds",
        "_death_ids",
        "_done_trials",
    )

    def __init__(self, agent_id: str) -> None:
        self._agent_id = agent_id
        self._deaths = 0
        self._in_flight: Counter[str] = Counter()
        self._holds: dict[str, int] = {}
        self._death_ids: dict[str, tuple[str, ...]] = {}
        self._done_trials: dict[str, tuple[str, ...]] = {}

    def admit(self, fingerprint: str, *, alone: bool) -> bool:
        """Return whether the request may be queued, and count it if so."""
        if fingerprint in self._holds and not alone:
            return False
        self._in_flight[fingerprint] += 1
        return True

    def on_request_ended(self, fingerprint: str) -> None:
        """Note that a request is no longer queued or running."""
        if self._in_flight[fingerprint] > 0:
            self._in_flight[fingerprint] -= 1

    def on_trial_done(self, fingerprint: str, nonce: str) -> None:
        """Note that a trial has ended without harm."""
        known = self._done_trials.get(fingerprint, ())
        self._done_trials[fingerprint] = (*known, nonce)

    def on_engine_died(self, running: list[str]) -> str:
        """Hold all that ran when the engine died; return the death's id."""
        self._deaths += 1
        death_id = f"{self._agent_id}/{self._deaths}"
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
        """Refuse the fingerprint from now on but for trials.

        :param number: the suspicion's number in the log; below 0 it only asks.
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
        """Take the fingerprint again if nothing newer speaks against it.

        :param cleared_at: offset in the log at which it was cleared.
        :param settled: the deaths of which it was cleared.
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
