"""Which ranks form which lock-step group, as entries tell each other.

Asking ranks costs a call each, so only the entries that may balance experts ask. They
tell all others, in their updates, of the services whose groups every entry must know.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True)
class GroupMembers:
    """The ranks of one lock-step group.

    :param name: unique among all services.
    :param runner_ids: the group's runners, in order of rank.
    """

    name: str
    service: str
    runner_ids: tuple[str, ...]


class GroupDirectory:
    """The groups that this entry knows, by name and by runner."""

    __slots__ = ("_groups_by_name", "_group_by_runner")

    def __init__(self) -> None:
        self._groups_by_name: dict[str, GroupMembers] = {}
        self._group_by_runner: dict[str, GroupMembers] = {}

    def __bool__(self) -> bool:
        return bool(self._groups_by_name)

    def update(self, groups: Iterable[GroupMembers]) -> bool:
        """Add groups, or replace the ranks of known ones; return whether any changed.

        A runner belongs to the group that named it last. Groups without ranks are
        dropped.
        """
        changed = [
            group for group in groups if self._groups_by_name.get(group.name) != group
        ]
        for group in changed:
            self._groups_by_name[group.name] = group
        if changed:
            self._index([each.name for each in changed])
        return bool(changed)

    def groups(self, service: str) -> list[GroupMembers]:
        """Return the known groups of a service, in the order of their names."""
        return sorted(
            (each for each in self._groups_by_name.values() if each.service == service),
            key=lambda group: group.name,
        )

    def names(self) -> list[str]:
        """Return the names of all known groups."""
        return list(self._groups_by_name)

    def group(self, name: str) -> GroupMembers | None:
        """Return a group by its name; ``None`` if it is not known."""
        return self._groups_by_name.get(name)

    def group_of(self, runner_id: str) -> GroupMembers | None:
        """Return the group of a runner; ``None`` if it is not known."""
        return self._group_by_runner.get(runner_id)

    def _index(self, changed: list[str]) -> None:
        newest_last = sorted(
            self._groups_by_name.values(), key=lambda group: group.name in changed
        )
        self._group_by_runner = {
            runner_id: group for group in newest_last for runner_id in group.runner_ids
        }
        for name, group in list(self._groups_by_name.items()):
            if not any(
                self._group_by_runner[runner_id].name == name
                for runner_id in group.runner_ids
            ):
                del self._groups_by_name[name]


def share_groups(groups: list[GroupMembers]) -> tuple[GroupMembers, ...]:
    """Return the groups of a service that all entries must know; none if not needed.

    They are needed if a service has several groups. A single group is the service.
    """
    return tuple(groups) if len(groups) > 1 else ()


__all__ = ["GroupDirectory", "GroupMembers", "share_groups"]
