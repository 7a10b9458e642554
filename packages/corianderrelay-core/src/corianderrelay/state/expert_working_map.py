"""A mutable expert map that keeps the loads of its ranks up to date."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .expert_map import ExpertMap

if TYPE_CHECKING:
    from collections.abc import Sequence


class WorkingMap:
    """A mutable expert map with the loads of its ranks and replicas.

    :param expert_map: initial map; it has at least one replica of each expert.
    :param tokens_by_expert: predicted load of each expert.
    """

    __slots__ = (
        "_initial",
        "_changed_ranks",
        "tokens_by_expert",
        "held_by_rank",
        "hosts_by_expert",
        "replica_load_by_expert",
        "load_by_rank",
        "mean_load",
    )

    def __init__(
        self, expert_map: ExpertMap, tokens_by_expert: Sequence[float]
    ) -> None:
        self._initial = expert_map.experts_by_rank
        self._changed_ranks: set[int] = set()
        self.tokens_by_expert = tokens_by_expert
        self.held_by_rank = [set(held) for held in self._initial]
        self.hosts_by_expert: list[set[int]] = [set() for _ in tokens_by_expert]
        for rank, held in enumerate(self._initial):
            for expert in held:
                self.hosts_by_expert[expert].add(rank)
        self.replica_load_by_expert = [
            tokens / len(hosts)
            for tokens, hosts in zip(tokens_by_expert, self.hosts_by_expert)
        ]
        self.load_by_rank = [
            sum(self.replica_load_by_expert[expert] for expert in held)
            for held in self._initial
        ]
        self.mean_load = sum(tokens_by_expert) / len(self._initial)

    @property
    def skew(self) -> float:
        """Return the highest rank load divided by the mean; 1.0 if there is no load."""
        return max(self.load_by_rank) / self.mean_load if self.mean_load else 1.0

    @property
    def moved_slots(self) -> int:
        """Return the number of slots whose expert differs from the initial map."""
        return sum(
            len(self.held_by_rank[rank].difference(self._initial[rank]))
            for rank in self._changed_ranks
        )

    def as_map(self) -> ExpertMap:
        """Return an immutable copy of the map."""
        held_by_rank = list(self._initial)
        for rank in self._changed_ranks:
            held_by_rank[rank] = tuple(sorted(self.held_by_rank[rank]))
        return ExpertMap(tuple(held_by_rank))

    def replica_load_with_added_replica(self, expert: int) -> float:
        """Return the load per replica if the expert had one more replica."""
        return self.tokens_by_expert[expert] / (len(self.hosts_by_expert[expert]) + 1)

    def peak_of_other_hosts_without(self, expert: int, rank: int) -> float:
        """Return the highest load of the other hosts if the rank removed the expert."""
        hosts = self.hosts_by_expert[expert]
        replica_load = self.tokens_by_expert[expert] / (len(hosts) - 1)
        rise = replica_load - self.replica_load_by_expert[expert]
        highest = max(map(self.load_by_rank.__getitem__, hosts))
        if highest > self.load_by_rank[rank]:
            return rise + highest
        return rise + max(self.load_by_rank[host] for host in hosts if host != rank)

    def add(self, rank: int, expert: int) -> None:
        """Add a replica of the expert to the rank."""
        self.load_by_rank[rank] += self.replica_load_by_expert[expert]
        self.held_by_rank[rank].add(expert)
        self.hosts_by_expert[expert].add(rank)
        self._changed_ranks.add(rank)
        self._update_replica_load(expert)

    def remove(self, rank: int, expert: int) -> None:
        """Remove the rank's replica of an expert that has other replicas."""
        self.load_by_rank[rank] -= self.replica_load_by_expert[expert]
        self.held_by_rank[rank].remove(expert)
        self.hosts_by_expert[expert].remove(rank)
        self._changed_ranks.add(rank)
        self._update_replica_load(expert)

    def exchange(self, rank: int, expert: int, other: int, other_expert: int) -> None:
        """Swap an expert of one rank with an expert of another rank."""
        self._transfer(rank, other, expert)
        self._transfer(other, rank, other_expert)

    def _transfer(self, source: int, target: int, expert: int) -> None:
        replica_load = self.replica_load_by_expert[expert]
        self.load_by_rank[source] -= replica_load
        self.load_by_rank[target] += replica_load
        self.held_by_rank[source].remove(expert)
        self.held_by_rank[target].add(expert)
        self.hosts_by_expert[expert].remove(source)
        self.hosts_by_expert[expert].add(target)
        self._changed_ranks.update((source, target))

    def _update_replica_load(self, expert: int) -> None:
        """Update the load per replica of the expert and the loads of its hosts."""
        hosts = self.hosts_by_expert[expert]
        replica_load = self.tokens_by_expert[expert] / len(hosts)
        shift = replica_load - self.replica_load_by_expert[expert]
        self.replica_load_by_expert[expert] = replica_load
        for host in hosts:
            self.load_by_rank[host] += shift


__all__ = ["WorkingMap"]
