"""The picture of one cell that decisions read: who holds what, and what is kept.

A mutable picture, because a placer updates it with each report and each decision,
thousands of times an hour, and copying a cell of 1,024 workers each time would
cost more than the decision. It holds no clock and does no input or output, and it
can be rebuilt from workers' reports alone.
"""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from types import MappingProxyType

from primrosestile.decisions.guarantees_rooms import Layout, Need, Room, find_rooms
from primrosestile.state.fleet import Worker
from primrosestile.state.jobs import Member
from primrosestile.state.tenancy import Shape, Urgency


@dataclass(frozen=True, slots=True)
class Holding:
    """One job that holds accelerators in the cell.

    Attributes:
        evictable: Whether it may be stopped and run again.
        checkpoints: Whether its progress can be saved first.
        started_at: Seconds, on the same clock as the `now` of decisions.
        checkpointed_at: When its progress was last saved; at first `started_at`.
        job_class: The key under which its run time is learned.
        ends_at: When it is expected to end, by learned run times; 0.0 unknown.
    """

    job_id: str
    organisation: str
    team: str
    members: tuple[Member, ...]
    shape: Shape
    urgency: Urgency
    evictable: bool
    checkpoints: bool
    started_at: float
    checkpointed_at: float
    job_class: str = ""
    ends_at: float = 0.0

    @property
    def accelerators(self) -> int:
        """How many accelerators it holds."""
        return sum(len(member.accelerators) for member in self.members)


@dataclass(frozen=True, slots=True)
class Demand:
    """One job that waits for a place."""

    job_id: str
    organisation: str
    team: str
    job_class: str
    shape: Shape
    urgency: Urgency
    evictable: bool
    checkpoints: bool
    accepted_at: float
    declared_seconds: float


class CellView:
    """One cell's workers, what is held on them, and the rooms of its promises.

    A *unit* is one promised shape of one organisation. Work that cannot be
    stopped (not evictable) is *charged* to a unit of its own organisation where
    one can enclose it: that unit is in use. All other units have a room that
    only free or evictable accelerators are part of.
    """

    def __init__(
        self, workers: Sequence[Worker], promised: Sequence[tuple[str, Shape]]
    ) -> None:
        self.workers = tuple(workers)
        self.promised = tuple(promised)
        self.index = {worker.name: each for each, worker in enumerate(workers)}
        self.capacity = [worker.accelerators for worker in workers]
        self.usable = [True] * len(self.workers)
        self.free_bits = [(1 << count) - 1 for count in self.capacity]
        # Counts are kept beside the bits, since decisions scan them each time.
        self.free_counts = list(self.capacity)
        self.pinned_counts = [0] * len(self.workers)
        self.jobs_on: list[dict[str, int]] = [{} for _ in self.workers]
        self._holdings: dict[str, Holding] = {}
        self._charges: dict[str, int] = {}
        self._rooms: list[Room] | None = None
        self._rooms_known = False
        self._layout = _make_layout(self.workers, self.capacity, self.usable)

    @property
    def holdings(self) -> Mapping[str, Holding]:
        """All holdings by job id."""
        return MappingProxyType(self._holdings)

    @property
    def layout(self) -> Layout:
        """The usable workers; unusable ones have no capacity."""
        return self._layout

    @property
    def free(self) -> dict[str, int]:
        """Free accelerators on each usable worker, by its name."""
        return {
            worker.name: self.free_counts[index]
            for index, worker in enumerate(self.workers)
            if self.usable[index]
        }

    @property
    def charges(self) -> Mapping[str, int]:
        """The unit that each charged holding uses, by job id."""
        return MappingProxyType(self._charges)

    def hold(self, holding: Holding) -> None:
        """Note that a job holds its members; a repeated call changes nothing.

        Raises:
            ValueError: A member is on an unknown worker or is held by another.
        """
        known = self._holdings.get(holding.job_id)
        if known is not None and known.members == holding.members:
            self._holdings[holding.job_id] = holding
            return
        if known is not None:
            self.release(holding.job_id)
        taken = [self._read_bits(member) for member in holding.members]
        for worker, bits in taken:
            count = bits.bit_count()
            self.free_bits[worker] &= ~bits
            self.free_counts[worker] -= count
            self.jobs_on[worker][holding.job_id] = count
        self._holdings[holding.job_id] = holding
        if not holding.evictable:
            self._pin(holding, {worker: bits.bit_count() for worker, bits in taken})

    def release(self, job_id: str) -> Holding | None:
        """Note that a job holds nothing any more; return what it held."""
        holding = self._holdings.pop(job_id, None)
        if holding is None:
            return None
        unit = self._charges.pop(job_id, None)
        for member in holding.members:
            worker = self.index[member.worker]
            bits = _make_bits(member.accelerators)
            count = bits.bit_count()
            self.free_bits[worker] |= bits
            self.free_counts[worker] += count
            del self.jobs_on[worker][job_id]
            if holding.evictable:
                continue
            self.pinned_counts[worker] -= count
            if unit is not None and self._rooms is not None and self.usable[worker]:
                # The room stays where it is: what the job held of it is free now.
                room = self._rooms[unit]
                room[worker] = room.get(worker, 0) + count
        if not holding.evictable and self._rooms is None:
            self._rooms_known = False
        return holding

    def set_usable(self, worker: str, usable: bool) -> None:
        """Note whether new work may go to a worker.

        Quarantined, unreachable and leaving workers are not usable. What they
        hold stays noted until it is released.
        """
        index = self.index[worker]
        if self.usable[index] == usable:
            return
        self.usable[index] = usable
        self._layout = _make_layout(self.workers, self.capacity, self.usable)
        self._rooms_known = False

    def set_promised(self, promised: Sequence[tuple[str, Shape]]) -> None:
        """Replace the promises, after a change of guarantees or of the fleet."""
        if tuple(promised) == self.promised:
            return
        self.promised = tuple(promised)
        self._charges.clear()
        self._rooms_known = False

    def find_units(self, organisation: str) -> list[int]:
        """Return the units of one organisation."""
        return [
            unit for unit, (name, _) in enumerate(self.promised) if name == organisation
        ]

    def count_promised(self, organisation: str) -> int:
        """Return how many accelerators of this cell an organisation is promised."""
        return sum(
            shape.accelerators for name, shape in self.promised if name == organisation
        )

    def read_rooms(self) -> list[Room] | None:
        """Return the rooms of all units, without what is charged to them.

        None when the promises cannot all be kept at this instant, which only a
        lost worker or a change of settings brings about.
        """
        if not self._rooms_known:
            self._rooms = self._search_rooms()
            self._rooms_known = True
        return self._rooms

    def list_available(self) -> list[int]:
        """Return by worker what is free or held by evictable work."""
        return [
            capacity - pinned if usable else 0
            for capacity, pinned, usable in zip(
                self.capacity, self.pinned_counts, self.usable, strict=True
            )
        ]

    def list_needs(self) -> list[Need]:
        """Return each unit's shape with what is charged to it."""
        charged: list[dict[int, int]] = [{} for _ in self.promised]
        for job_id, unit in self._charges.items():
            for worker, count in self._locate(self._holdings[job_id]).items():
                charged[unit][worker] = charged[unit].get(worker, 0) + count
        return [
            Need(shape, charged[unit]) for unit, (_, shape) in enumerate(self.promised)
        ]

    def find_charge(
        self, organisation: str, counts: Mapping[int, int]
    ) -> tuple[int | None, list[Room]] | None:
        """Find how unstoppable work could be there with every promise kept.

        Args:
            organisation: Whose work it is.
            counts: Accelerators by worker index, not yet noted as held.

        Returns:
            The unit it would use (None: it needs none) and the rooms of all
            units then; None when a promise could not be kept.
        """
        rooms = self.read_rooms()
        if rooms is None:
            return None
        quick = self._find_quick_charge(organisation, counts, rooms)
        if quick is not None:
            return quick
        available = self.list_available()
        for worker, count in counts.items():
            available[worker] -= count
        needs = self.list_needs()
        for unit in self._order_units(organisation, needs):
            need = _charge(needs[unit], counts)
            found = find_rooms(
                self._layout, available, [*needs[:unit], need, *needs[unit + 1 :]]
            )
            if found is not None:
                return unit, found
        found = find_rooms(self._layout, available, needs)
        return None if found is None else (None, found)

    def _find_quick_charge(
        self, organisation: str, counts: Mapping[int, int], rooms: list[Room]
    ) -> tuple[int | None, list[Room]] | None:
        """Answer from the known rooms, without a search, where they suffice."""
        own = self._order_units(organisation, None)
        for unit in own:
            if all(rooms[unit].get(each, 0) >= count for each, count in counts.items()):
                changed = list(rooms)
                changed[unit] = {
                    worker: left - counts.get(worker, 0)
                    for worker, left in rooms[unit].items()
                }
                return unit, changed
        if own:
            return None
        spare = self.list_spare()
        if all(spare[worker] >= count for worker, count in counts.items()):
            return None, rooms
        return None

    def list_spare(self) -> list[int]:
        """Return by worker what is available and part of no room."""
        spare = self.list_available()
        for room in self.read_rooms() or ():
            for worker, count in room.items():
                spare[worker] -= count
        return spare

    def _order_units(
        self, organisation: str, needs: Sequence[Need] | None
    ) -> list[int]:
        # A unit in use is filled up before another is broken into, and a small
        # unit is used before a large one, so that large ones stay whole.
        used = set(self._charges.values())
        return sorted(
            self.find_units(organisation),
            key=lambda unit: (
                unit not in used,
                self.promised[unit][1].accelerators,
                unit,
            ),
        )

    def _pin(self, holding: Holding, counts: dict[int, int]) -> None:
        found = None
        if all(self.usable[worker] for worker in counts):
            found = self.find_charge(holding.organisation, counts)
        for worker, count in counts.items():
            self.pinned_counts[worker] += count
        if found is None:
            self._rooms_known = False
            return
        unit, rooms = found
        if unit is not None:
            self._charges[holding.job_id] = unit
        self._rooms = rooms

    def _search_rooms(self) -> list[Room] | None:
        """Search all rooms anew, and charges too where the known ones fail."""
        self._drop_lost_charges()
        rooms = find_rooms(self._layout, self.list_available(), self.list_needs())
        if rooms is not None:
            return rooms
        return self._charge_anew()

    def _drop_lost_charges(self) -> None:
        for job_id in list(self._charges):
            located = self._locate(self._holdings[job_id])
            if not all(self.usable[worker] for worker in located):
                del self._charges[job_id]

    def _charge_anew(self) -> list[Room] | None:
        self._charges.clear()
        pinned = [each for each in self._holdings.values() if not each.evictable]
        pinned.sort(key=lambda each: (-each.accelerators, each.job_id))
        for holding in pinned:
            counts = self._locate(holding)
            if not all(self.usable[worker] for worker in counts):
                continue
            needs = self.list_needs()
            for unit in self._order_units(holding.organisation, needs):
                charged = _charge(needs[unit], counts)
                trial = [*needs[:unit], charged, *needs[unit + 1 :]]
                # What is not charged yet is left out of what is available, so
                # only the units that are charged so far are asked for.
                tied = [each for each in trial if each.charged]
                if find_rooms(self._layout, self.list_available(), tied) is not None:
                    self._charges[holding.job_id] = unit
                    break
        return find_rooms(self._layout, self.list_available(), self.list_needs())

    def _locate(self, holding: Holding) -> dict[int, int]:
        return {
            self.index[member.worker]: len(member.accelerators)
            for member in holding.members
        }

    def _read_bits(self, member: Member) -> tuple[int, int]:
        worker = self.index.get(member.worker)
        if worker is None:
            raise ValueError(f"{member.worker} is not a worker of this cell")
        bits = _make_bits(member.accelerators)
        if bits & ~self.free_bits[worker]:
            raise ValueError(f"accelerators of {member.worker} are held by another job")
        return worker, bits

    def list_racks(self) -> Iterator[tuple[int, ...]]:
        """Yield the worker indices of each rack."""
        yield from self._layout.racks


def _charge(need: Need, counts: Mapping[int, int]) -> Need:
    charged = dict(need.charged)
    for worker, count in counts.items():
        charged[worker] = charged.get(worker, 0) + count
    return Need(need.shape, charged)


def _make_bits(accelerators: Sequence[int]) -> int:
    bits = 0
    for number in accelerators:
        bits |= 1 << number
    return bits


def _make_layout(
    workers: Sequence[Worker], capacity: Sequence[int], usable: Sequence[bool]
) -> Layout:
    racks: dict[str, list[int]] = {}
    for index, worker in enumerate(workers):
        racks.setdefault(worker.rack, []).append(index)
    rack_of = {
        worker: rack
        for rack, members in enumerate(racks.values())
        for worker in members
    }
    return Layout(
        tuple(count if usable[index] else 0 for index, count in enumerate(capacity)),
        tuple(rack_of[index] for index in range(len(workers))),
        tuple(tuple(members) for members in racks.values()),
    )
