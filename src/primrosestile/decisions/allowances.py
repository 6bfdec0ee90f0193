"""How many requests one entry may have at each target, now.

Three sources are weighed: a fresh grant of the cell's owner; for one lifetime
after it lapsed, the lesser of that grant and the safe share; and else the safe
share. `decisions/slots.py` tells why the sum over entries holds.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from primrosestile.decisions.slots import share_one_safely

# Connections that a worker accepts. Each entry keeps one open for each request
# that it has there, so its part of them bounds its requests as well.
CONNECTIONS = 64
# Slots used on each target until the other entries are known.
FIRST_SHARE = 1


@dataclass(frozen=True, slots=True)
class Grant:
    """Slots at one worker, and when they lapse on the loop's clock."""

    slots: int
    until: float
    seconds: float


class Allowances:
    """The slots that this entry may use, by target."""

    def __init__(self, self_name: str) -> None:
        self._self_name = self_name
        self._entries: tuple[str, ...] = ()
        self._slots: dict[str, int] = {}
        self._safe: dict[str, int] = {}
        self._grants: dict[str, Grant] = {}

    def set_slots(self, slots: Mapping[str, int]) -> None:
        """Take in the fleet; only what changed is worked out again."""
        for worker in self._slots.keys() - slots.keys():
            self._grants.pop(worker, None)
            self._safe.pop(worker, None)
        changed = [
            name for name, count in slots.items() if self._slots.get(name) != count
        ]
        self._slots = dict(slots)
        self._work_out(changed)

    def set_entries(self, names: Sequence[str]) -> None:
        """Take in the live entries."""
        entries = tuple(sorted(set(names)))
        if entries != self._entries:
            self._entries = entries
            self._work_out(self._slots)

    def set_grants(
        self,
        workers: Iterable[str],
        grants: Mapping[str, int],
        until: float,
        now: float,
    ) -> None:
        """Take in the grants of one cell's owner; a worker left out gets none."""
        for worker in workers:
            if worker in self._slots:
                self._grants[worker] = Grant(grants.get(worker, 0), until, until - now)

    def find(self, worker: str, now: float) -> int:
        """Return how many requests this entry may have at the worker now."""
        allowed = self._find_slots(worker, now)
        if not self._entries:
            return allowed
        return min(allowed, max(1, CONNECTIONS // len(self._entries)))

    def _find_slots(self, worker: str, now: float) -> int:
        slots = self._slots.get(worker, 0)
        safe = self._safe.get(worker, 0)
        grant = self._grants.get(worker)
        if grant is None:
            return safe
        if now < grant.until:
            return min(grant.slots, slots)
        if now < grant.until + grant.seconds:
            return min(grant.slots, safe)
        return safe

    def _work_out(self, workers: Iterable[str]) -> None:
        for worker in workers:
            count = self._slots[worker]
            self._safe[worker] = (
                share_one_safely(worker, count, self._entries, self._self_name)
                if self._entries
                else min(FIRST_SHARE, count)
            )
