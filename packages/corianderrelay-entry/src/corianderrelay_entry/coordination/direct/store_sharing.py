"""Shares what one entry reads from the platform's log with all others.

The first entry of each zone asks the first of all zones, which reads, and the others
ask the first of their zone. An entry that gets no answer, or too old ones, asks the
next in line, which then reads too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.direct.store_news import StoreAnswer, StoreQuestion
from ...state.direct.zone_relays import read_line
from .decision_log import Decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from corianderrelay.coordination.clock import Clock

    from ...state.direct.entry_peers import EntryPeers, PeerUpdate
    from ...state.direct.runner_list import RunnerList
    from ...state.direct.store_news import Confirmation, ReadDuty
    from .config_watch import ConfigWatch
    from .decision_log import DecisionLog
    from .ports import NewsSender
    from .quarantine_watch import QuarantineWatch
    from .runner_watch import RunnerWatch

_ASK_PERIOD_S = 0.4
_ASKED_TWICE = 2  # a single datagram may be lost


class StoreSharing:
    """Asks the reader of the zone, and answers other entries.

    :param boottime_seconds: returns seconds of a clock that includes suspended time.
    :ivar position: this entry's position in line, 0 for the one that reads.
    """

    def __init__(
        self,
        peers: EntryPeers,
        config: ConfigWatch,
        runner_watch: RunnerWatch,
        quarantine_watch: QuarantineWatch,
        runners: RunnerList,
        duty: ReadDuty,
        clock: Clock,
        boottime_seconds: Callable[[], float],
        sender: NewsSender,
        log: DecisionLog,
    ) -> None:
        self._peers = peers
        self._config = config
        self._runner_watch = runner_watch
        self._quarantine_watch = quarantine_watch
        self._runners = runners
        self._duty = duty
        self._clock = clock
        self._boottime_seconds = boottime_seconds
        self._sender = sender
        self._log = log
        self._asked_at = float("-inf")
        self._unanswered = 0
        self._first = ""
        self._reads = True
        self.position = 0

    def tick(self) -> None:
        """Update this entry's duty; poll or ask if that is due."""
        now = self._clock.seconds()
        line = read_line(self._peers.own_id, self._peers.own_zone, self._ready(now))
        self.position = line.index(self._peers.own_id)
        self._duty.set_position(self.position, shared=self._peers.relayed)
        reads = self._duty.reads(now)
        if reads != self._reads:
            self._log_duty(reads)
        self._config.poll_if_due()
        self._runner_watch.poll_if_due()
        self._quarantine_watch.poll_if_due()
        others = [each for each in line if each != self._peers.own_id]
        asks = not reads or (self._peers.relayed and self._cannot_read())
        if others and asks and now - self._asked_at >= _ASK_PERIOD_S:
            self._ask(others, now)

    def on_question(self, question: StoreQuestion) -> None:
        """Answer an entry, and read for it from now on."""
        config, runners = self._config, self._runner_watch
        target = self._peers.address(question.entry_id)
        if question.others_failed:
            self._duty.on_asked(self._clock.seconds())
        config_position, runner_position = config.position, runners.position
        if target is None or config_position is None or runner_position is None:
            return
        boottime = self._boottime_seconds()
        answer = StoreAnswer(
            self._peers.own_id,
            question.asked_at,
            config_position,
            max(boottime - config.confirmation.confirmed_at, 0.0),
            max(boottime - config.confirmation.read_again_at, 0.0),
            runner_position,
            max(boottime - runners.confirmation.confirmed_at, 0.0),
            max(boottime - runners.confirmation.read_again_at, 0.0),
            self._runners.removal_delay_s(self._clock.seconds()),
            runners.changes.since(question.runner_position),
            self._quarantine_watch.position,
        )
        self._sender.answer(answer, target)

    def on_answer(self, answer: StoreAnswer) -> None:
        """Apply an answer to one of this entry's questions."""
        asked_at = answer.asked_at
        if asked_at > self._boottime_seconds():
            return
        self._unanswered = 0
        config_at = asked_at - answer.config_age_s
        runners_at = asked_at - answer.runner_age_s
        config = self._config.confirmation
        runners = self._runner_watch.confirmation
        if _is_too_old(config, config_at, asked_at) or _is_too_old(
            runners, runners_at, asked_at
        ):
            # The next entry can perhaps read the log; if not, the first one may again.
            from_first = answer.entry_id == self._first
            self._unanswered = _ASKED_TWICE if from_first else 0
        self._config.apply_news(
            answer.config_position,
            config_at,
            records_lost=config.lost_since(asked_at, answer.config_read_again_s),
        )
        self._runner_watch.apply_news(
            answer,
            runners_at,
            records_lost=runners.lost_since(asked_at, answer.runners_read_again_s),
        )
        self._quarantine_watch.apply_news(answer.quarantine_position)

    def _ask(self, others: list[str], now: float) -> None:
        self._asked_at = now
        self._first = others[0]
        failed = max(self._unanswered + 1 - _ASKED_TWICE, 0)
        target = self._peers.address(others[failed % len(others)])
        self._unanswered += 1
        if target is None:
            return
        self._sender.ask(
            StoreQuestion(
                self._peers.own_id,
                self._boottime_seconds(),
                self._runner_watch.position,
                failed > 0,
            ),
            target,
        )

    def _cannot_read(self) -> bool:
        """Whether this entry should read, but the log does not answer it."""
        if self._config.failing or self._runner_watch.failing:
            return True
        boottime = self._boottime_seconds()
        config, runners = self._config.confirmation, self._runner_watch.confirmation
        return config.is_old(boottime) or runners.is_old(boottime)

    def _ready(self, now: float) -> list[PeerUpdate]:
        return [update for update in self._peers.alive(now) if update.ready]

    def _log_duty(self, reads: bool) -> None:
        self._reads = reads
        boottime = self._boottime_seconds()
        config, runners = self._config.confirmation, self._runner_watch.confirmation
        self._log.note(
            Decision.LOG_READER,
            reads=reads,
            position=self.position,
            config_age_s=round(boottime - config.confirmed_at, 3),
            runners_age_s=round(boottime - runners.confirmed_at, 3),
        )


def _is_too_old(
    confirmation: Confirmation, confirmed_at: float, asked_at: float
) -> bool:
    return asked_at - confirmed_at > confirmation.max_age_s


__all__ = ["StoreSharing"]
