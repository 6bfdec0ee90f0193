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


@dataclass(frozen=True, slots=True, eq=False)
class Grant:
    """What the owner of one cell granted; shared by all workers of the cell.

    Attributes:
        slots: By worker; a worker left out gets none.
        until: When it lapses, on the loop's clock.
        seconds: How long it was granted for.
    """

    slots: Mapping[str, int]
    until: float
    seconds: float

    @property
    def settled_at(self) -> float:
        """When every grant of the same owner has lapsed, if it is dead."""
        return self.until + self.seconds


class Allowances:
    """The slots that this entry may use, by target."""

    def __init__(self, self_name: str) -> None:
        self._self_name = self_name
        self._entries: tuple[str, ...] = ()
        self._slots: dict[str, int] = {}
        self._safe: dict[str, int] = {}
        self._grants: dict[str, Grant] = {}

    def set_slots(self, slots: Mapping[str, int]) -> set[str]:
        """Take in the fleet; return which targets came, went or changed."""
        known = self._slots
        gone = known.keys() - slots.keys()
        changed = {name for name, count in slots.items() if known.get(name) != count}
        for worker in gone:
            self._grants.pop(worker, None)
            self._safe.pop(worker, None)
        self._slots = dict(slots)
        self._work_out(changed)
        return changed | gone

    def set_entries(self, names: Sequence[str]) -> None:
        """Take in the live entries; this one counts, whether listed yet or not.

        A store that is slow shows a new entry the others first. Without itself it
        would have no share, and refuse every request until its record comes.
        """
        listed = set(names)
        entries = tuple(sorted(listed | {self._self_name})) if listed else ()
        if entries != self._entries:
            self._entries = entries
            self._work_out(self._slots)

    def set_grant(self, workers: Iterable[str], grant: Grant, now: float) -> list[str]:
        """Take in what one cell's owner granted; return where it changes a figure."""
        changed = []
        for worker in workers:
            if worker not in self._slots:
                continue
            before = self._grants.get(worker)
            self._grants[worker] = grant
            fresh = before is not None and now < before.until
            if not fresh or not self._is_same(worker, before, grant):
                changed.append(worker)
        return changed

    def list_targets(self) -> list[str]:
        """Return all targets in order."""
        return sorted(self._slots)

    def list_under(self, grant: Grant, workers: Iterable[str]) -> tuple[str, ...]:
        """Return those for which no later grant has come."""
        return tuple(each for each in workers if self._grants.get(each) is grant)

    def find(self, worker: str, now: float) -> int:
        """Return how many requests this entry may have at the worker now."""
        allowed = self._find_slots(worker, now)
        if not self._entries:
            return allowed
        return min(allowed, max(1, CONNECTIONS // len(self._entries)))

    def _is_same(self, worker: str, before: Grant | None, after: Grant) -> bool:
        if before is None:
            return False
        return before.slots.get(worker, 0) == after.slots.get(worker, 0)

    def _find_slots(self, worker: str, now: float) -> int:
        slots = self._slots.get(worker, 0)
        safe = self._safe.get(worker, 0)
        grant = self._grants.get(worker)
        if grant is None or now >= grant.settled_at:
            return safe
        granted = grant.slots.get(worker, 0)
        return min(granted, slots if now < grant.until else safe)

    def _work_out(self, workers: Iterable[str]) -> None:
        for worker in workers:
            count = self._slots[worker]
            self._safe[worker] = (
                share_one_safely(worker, count, self._entries, self._self_name)
                if self._entries
                else min(FIRST_SHARE, count)
            )
