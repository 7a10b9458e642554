"""Settings, phases and reports of the switches of a group's expert map."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .switch_types import GroupMap, SwitchAttemptId


@dataclass(slots=True, frozen=True)
class SwitchRules:
    """Timeouts, resend intervals and lead of a switch.

    :param lead_steps: initial lead: how many steps after the group's current step the
        switch takes effect. The lead doubles when the group reached the step of the
        switch before the outcome, and otherwise shrinks by one. A longer lead delays
        the switch; too short a lead makes the group wait before the step.
    :param max_lead_steps: upper bound of the lead.
    :param resend_s: interval after which an unanswered message is sent again.
    :param stage_resend_s: the same interval for ``Stage`` messages.
    :param stage_timeout_s: timeout for all ranks to load the weights.
    :param arm_timeout_s: timeout for all ranks to hold before the step.
    """

    lead_steps: int = 8
    max_lead_steps: int = 256
    resend_s: float = 0.2
    stage_resend_s: float = 2.0
    stage_timeout_s: float = 120.0
    arm_timeout_s: float = 1.0


class Phase(Enum):
    """Phase of a coordinator and its current attempt.

    An attempt goes through the phases from ``STAGING`` to ``SETTLING`` in this order;
    an aborted one goes on to ``SETTLING`` at once.
    """

    WAITING_FOR_EPOCH = "waiting_for_epoch"
    IDLE = "idle"
    STAGING = "staging"
    BEGINNING = "beginning"
    ARMING = "arming"
    DECIDING = "deciding"
    SETTLING = "settling"
    FENCED = "fenced"


@dataclass(slots=True, frozen=True)
class SwitchReport:
    """The outcome of an attempt and its reason, for the audit trail."""

    attempt: SwitchAttemptId
    group_map: GroupMap
    step: int
    committed: bool
    reason: str


__all__ = ["Phase", "SwitchReport", "SwitchRules"]
