"""How many requests one entry may have in flight at each target.

The bound is a fresh grant of the cell's owner; for one lifetime after it lapsed, the
lesser of that grant and the safe share; and otherwise the safe share.
`decisions/slots.py` explains why the sum over entries stays within the slots.
"""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from primrosestile.decisions.slots import share_one_safely

# Connections that a worker accepts. Each entry keeps one open for each request in
# flight there, so its share of the connections also bounds its requests.
CONNECTIONS_PER_WORKER = 64
# Slots used on each target until the live entries are known.
INITIAL_SLOTS = 1


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
    def all_lapsed_at(self) -> float:
        """When every grant of the same owner has lapsed, if the owner has died."""
        return self.until + self.seconds


class Allowances:
    """The slots that this entry may use, by target."""

    def __init__(self, self_name: str) -> None:
        self._self_name = self_name
        self._entries: tuple[str, ...] = ()
        self._slots: dict[str, int] = {}
        self._safe_slots: dict[str, int] = {}
        self._grants: dict[str, Grant] = {}

    def set_slots(self, slots: Mapping[str, int]) -> set[str]:
        """Set the slots of all targets; return those added, removed or changed."""
        known = self._slots
        gone = known.keys() - slots.keys()
        changed = {name for name, count in slots.items() if known.get(name) != count}
        for worker in gone:
            self._grants.pop(worker, None)
            self._safe_slots.pop(worker, None)
        self._slots = dict(slots)
        self._compute_safe_slots(changed)
        return changed | gone

    def set_entries(self, names: Sequence[str]) -> None:
        """Set the live entries; this one counts, whether listed yet or not.

        A slow store may list the other entries before this new one. Without itself
        it would have no share and refuse every request until its record is listed.
        """
        listed = set(names)
        entries = tuple(sorted(listed | {self._self_name})) if listed else ()
        if entries != self._entries:
            self._entries = entries
            self._compute_safe_slots(self._slots)

    def set_grant(self, workers: Iterable[str], grant: Grant, now: float) -> list[str]:
        """Set the grant of one cell's owner; return the workers where it matters.

        These are workers whose slots changed or that had no fresh grant.
        """
        changed = []
        for worker in workers:
            if worker not in self._slots:
                continue
            before = self._grants.get(worker)
            self._grants[worker] = grant
            fresh = before is not None and now < before.until
            if not fresh or not self._grants_same(worker, before, grant):
                changed.append(worker)
        return changed

    def list_targets(self) -> list[str]:
        """Return all targets in order."""
        return sorted(self._slots)

    def list_covered_by(self, grant: Grant, workers: Iterable[str]) -> tuple[str, ...]:
        """Return the workers for which no later grant has arrived."""
        return tuple(each for each in workers if self._grants.get(each) is grant)

    def find(self, worker: str, now: float) -> int:
        """Return how many requests this entry may have in flight at the worker."""
        allowed = self._find_slots(worker, now)
        if not self._entries:
            return allowed
        return min(allowed, max(1, CONNECTIONS_PER_WORKER // len(self._entries)))

    def _grants_same(self, worker: str, before: Grant | None, after: Grant) -> bool:
        if before is None:
            return False
        return before.slots.get(worker, 0) == after.slots.get(worker, 0)

    def _find_slots(self, worker: str, now: float) -> int:
        slots = self._slots.get(worker, 0)
        safe = self._safe_slots.get(worker, 0)
        grant = self._grants.get(worker)
        if grant is None or now >= grant.all_lapsed_at:
            return safe
        granted = grant.slots.get(worker, 0)
        return min(granted, slots if now < grant.until else safe)

    def _compute_safe_slots(self, workers: Iterable[str]) -> None:
        for worker in workers:
            count = self._slots[worker]
            self._safe_slots[worker] = (
                share_one_safely(worker, count, self._entries, self._self_name)
                if self._entries
                else min(INITIAL_SLOTS, count)
            )
