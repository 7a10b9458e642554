"""Rules, phases and reports of the switches of a group's expert map."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .switch_types import AttemptId, GroupMap


@dataclass(slots=True, frozen=True)
class SwitchRules:
    """Times and steps of a switch.

    :param lead_steps: how far ahead of the group the step of the first attempt lies.
        The lead doubles when the group came to that step before the outcome, and else
        shrinks by one: a longer lead delays the switch, a shorter one the steps.
    :param max_lead_steps: bound of the lead.
    :param resend_s: period after which an unanswered message is sent again.
    :param stage_resend_s: the same for the message that has weights loaded.
    :param stage_timeout_s: longest wait for the weights on all ranks.
    :param arm_timeout_s: longest wait for all ranks to hold.
    """

    lead_steps: int = 8
    max_lead_steps: int = 256
    resend_s: float = 0.2
    stage_resend_s: float = 2.0
    stage_timeout_s: float = 120.0
    arm_timeout_s: float = 1.0


class Phase(Enum):
    """How far the coordinator's present attempt is."""

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
    """How an attempt ended, for the audit trail."""

    attempt: AttemptId
    group_map: GroupMap
    step: int
    committed: bool
    reason: str


__all__ = ["Phase", "SwitchReport", "SwitchRules"]
