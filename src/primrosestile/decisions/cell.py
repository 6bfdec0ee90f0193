"""In-memory state of one cell: holdings, places being reclaimed, and allocations.

The view is mutable: a placer updates it with each report and each decision, thousands
of times an hour, and copying a cell of 1,024 workers each time would cost more than the
decision. It has no clock and does no I/O, and it can be rebuilt from worker reports
alone, with the holdings in any order.
"""

from collections.abc import Iterable, Mapping, Sequence
from types import MappingProxyType

from primrosestile.decisions.cell_allocations import CellAllocations
from primrosestile.decisions.cell_charges import Pinned
from primrosestile.decisions.cell_records import Demand, Holding, Reservation
from primrosestile.decisions.guarantee_allocations import Layout
from primrosestile.state.fleet import Worker
from primrosestile.state.jobs import Member
from primrosestile.state.tenancy import Shape, Urgency

__all__ = ["CellView", "Demand", "Holding", "Reservation"]


class CellView:
    """One cell's workers, the holdings on them, and the allocations of its guarantees.

    Attributes:
        index: Worker index by name; all counts below are by worker index.
        capacity: Accelerators.
        usable: Whether new work may be placed on the worker.
        free_bits: Free accelerators, as a bit mask.
        free_counts: Number of bits in `free_bits`, kept because decisions scan it each
            time.
        jobs_on: Accelerators held by each job.
        allocations: Allocations of the guaranteed shapes.
        mix: Weight of each requested shape, for the measure of fragmentation; empty
            until a demand was seen.
        reservation: Accelerators reserved for the job that has waited longest.
        cached_fits: Cached answers whether the empty cell can hold a shape.
    """

    def __init__(
        self, workers: Sequence[Worker], guaranteed: Sequence[tuple[str, Shape]]
    ) -> None:
        self.workers = tuple(workers)
        self.index = {worker.name: each for each, worker in enumerate(workers)}
        self.capacity = [worker.accelerators for worker in workers]
        self.usable = [True] * len(self.workers)
        self.free_bits = [(1 << count) - 1 for count in self.capacity]
        self.free_counts = list(self.capacity)
        self.jobs_on: list[dict[str, int]] = [{} for _ in self.workers]
        self.layout = _make_layout(self.workers, self.usable)
        self.allocations = CellAllocations(self.layout, guaranteed)
        self.mix: Mapping[Shape, float] = {}
        self.reservation: Reservation | None = None
        self.cached_fits: dict[Shape, bool] = {}
        self._holdings: dict[str, Holding] = {}
        self._incoming: dict[str, Holding] = {}
        self._stopping: dict[str, set[str]] = {}
        self._incoming_bits = [0] * len(self.workers)
        self._by_organisation: dict[str, dict[str, Holding]] = {}
        self._cached_borrowers: dict[str, frozenset[str]] = {}

    @property
    def holdings(self) -> Mapping[str, Holding]:
        """All holdings by job id."""
        return MappingProxyType(self._holdings)

    @property
    def incoming(self) -> Mapping[str, Holding]:
        """Jobs for which victims are being stopped, by job id."""
        return MappingProxyType(self._incoming)

    @property
    def stopping(self) -> Mapping[str, set[str]]:
        """Victims that are being stopped, each with the jobs that need its place."""
        return MappingProxyType(self._stopping)

    @property
    def promised(self) -> tuple[tuple[str, Shape], ...]:
        """The guaranteed shapes of this cell, by organisation."""
        return self.allocations.guaranteed

    @property
    def free(self) -> dict[str, int]:
        """Free accelerators on each usable worker, by its name."""
        return {
            worker.name: self.free_counts[index]
            for index, worker in enumerate(self.workers)
            if self.usable[index]
        }

    def list_held_by(self, organisation: str) -> list[Holding]:
        """Return an organisation's incoming jobs and the running ones not stopping."""
        held = [
            holding
            for job_id, holding in self._by_organisation.get(organisation, {}).items()
            if job_id not in self._stopping
        ]
        held += [
            holding
            for holding in self._incoming.values()
            if holding.organisation == organisation
        ]
        return held

    def find_borrowers(self, organisation: str) -> frozenset[str]:
        """Find an organisation's jobs that exceed its guarantee in this cell.

        Its jobs count against the guarantee in this order: non-preemptible ones, then
        urgent ones, then the oldest. A job that exceeds what is left of the guaranteed
        accelerators is borrowing.
        """
        known = self._cached_borrowers.get(organisation)
        if known is not None:
            return known
        left = self.count_guaranteed(organisation)
        borrowers = []
        for holding in sorted(self.list_held_by(organisation), key=_rank_for_guarantee):
            if holding.accelerators <= left:
                left -= holding.accelerators
            else:
                borrowers.append(holding.job_id)
        self._cached_borrowers[organisation] = frozenset(borrowers)
        return self._cached_borrowers[organisation]

    def hold(self, holding: Holding) -> None:
        """Record that a job holds its members; idempotent.

        Raises:
            ValueError: A member is on an unknown worker or is held by another job.
        """
        known = self._holdings.get(holding.job_id)
        if known is not None and known.members == holding.members:
            self._record(holding)
            return
        incoming = self._incoming.get(holding.job_id)
        expected = incoming is not None and incoming.members == holding.members
        if expected:
            self._check_opened(holding)
        elif incoming is not None:
            self.cancel_reclaim(holding.job_id)
        if known is not None:
            self.release(holding.job_id)
        taken = self._read_members(holding.members, expected)
        for worker, bits in taken:
            self._incoming_bits[worker] &= ~bits
            self._take(worker, bits)
            self.jobs_on[worker][holding.job_id] = bits.bit_count()
        self._record(holding)
        if expected:
            self._remove_incoming(holding.job_id)
        if expected and holding.evictable:
            self.allocations.unpin(holding.job_id)
        if not expected and not holding.evictable:
            self._pin(holding)

    def hold_all(self, holdings: Iterable[Holding]) -> None:
        """Record many holdings, as when a cell is taken over.

        The largest come first: they leave the least choice among their organisation's
        units, so allocations are found with the fewest searches.
        """
        ordered = sorted(holdings, key=lambda each: (-each.accelerators, each.job_id))
        for holding in ordered:
            self.hold(holding)
        self.allocations.invalidate()

    def release(self, job_id: str) -> Holding | None:
        """Record that a job holds nothing any more; return its holding."""
        holding = self._holdings.pop(job_id, None)
        if holding is None:
            return None
        self._stopping.pop(job_id, None)
        del self._by_organisation[holding.organisation][job_id]
        self._cached_borrowers.pop(holding.organisation, None)
        for member in holding.members:
            worker = self.index[member.worker]
            bits = _make_bits(member.accelerators) & ~self._incoming_bits[worker]
            self._give(worker, bits)
            del self.jobs_on[worker][job_id]
        if not holding.evictable:
            self.allocations.unpin(job_id)
        return holding

    def begin_reclaim(self, holding: Holding, victims: Iterable[str]) -> None:
        """Keep a place for a job while its victims are being stopped.

        Stopping takes seconds. Without this record, the first accelerators to become
        free would be given to the next job in the queue, and the reclaiming
        organisation would still wait. An incoming job counts as non-preemptible until
        it has started, so that a second reclaim never relies on a place that the first
        has not freed yet.

        Args:
            holding: The job, with the members that the decision named.
            victims: Ids of the jobs that are being stopped. Each frees its accelerators
                with `release`; then `hold` ends the reclaim.
        """
        for worker, bits in self._read_members(holding.members, True):
            self._take(worker, bits & self.free_bits[worker])
            self._incoming_bits[worker] |= bits
        self._incoming[holding.job_id] = holding
        for job_id in victims:
            self._stopping.setdefault(job_id, set()).add(holding.job_id)
            self._cached_borrowers.pop(self._holdings[job_id].organisation, None)
        self._cached_borrowers.pop(holding.organisation, None)
        self._pin(holding)

    def is_opened(self, job_id: str) -> bool:
        """Whether the place kept for an incoming job is free of other holdings.

        Checks the accelerators, not the victims: a victim may already have been started
        again elsewhere before the last one has stopped.
        """
        incoming = self._incoming.get(job_id)
        if incoming is None:
            return False
        return not any(
            bits & self._read_held(worker)
            for worker, bits in self._read_members(incoming.members, True)
        )

    def cancel_reclaim(self, job_id: str) -> None:
        """Release the place kept for a job; its victims need not stop for it."""
        holding = self._incoming.get(job_id)
        if holding is None:
            return
        self._remove_incoming(job_id)
        self.allocations.unpin(job_id)
        for member in holding.members:
            worker = self.index[member.worker]
            bits = _make_bits(member.accelerators)
            self._incoming_bits[worker] &= ~bits
            self._give(worker, bits & ~self._read_held(worker))

    def set_usable(self, worker: str, usable: bool) -> None:
        """Set whether new work may be placed on a worker.

        Quarantined, unreachable and leaving workers are not usable. Their holdings stay
        recorded until they are released.
        """
        index = self.index[worker]
        if self.usable[index] == usable:
            return
        self.usable[index] = usable
        self.layout = _make_layout(self.workers, self.usable)
        self.allocations.set_layout(self.layout)

    def set_guaranteed(self, guaranteed: Sequence[tuple[str, Shape]]) -> None:
        """Replace the guaranteed shapes after a change of settings or fleet."""
        self.allocations.set_guaranteed(guaranteed)
        self._cached_borrowers.clear()

    def count_guaranteed(self, organisation: str) -> int:
        """Return the number of accelerators guaranteed to an organisation here."""
        return sum(
            shape.accelerators for name, shape in self.promised if name == organisation
        )

    def locate(self, holding: Holding) -> dict[int, int]:
        """Return the accelerators of a holding by worker index."""
        return {
            self.index[member.worker]: len(member.accelerators)
            for member in holding.members
        }

    def read_uncommitted(self, job_id: str) -> dict[int, int]:
        """Return the bits of a job's accelerators not kept for an incoming job."""
        uncommitted: dict[int, int] = {}
        for member in self._holdings[job_id].members:
            worker = self.index[member.worker]
            bits = _make_bits(member.accelerators) & ~self._incoming_bits[worker]
            uncommitted[worker] = uncommitted.get(worker, 0) | bits
        return uncommitted

    def _record(self, holding: Holding) -> None:
        self._holdings[holding.job_id] = holding
        own = self._by_organisation.setdefault(holding.organisation, {})
        own[holding.job_id] = holding
        self._cached_borrowers.pop(holding.organisation, None)

    def _pin(self, holding: Holding) -> None:
        pinned = Pinned(holding.organisation, holding.shape, self.locate(holding))
        self.allocations.pin(holding.job_id, pinned)

    def _take(self, worker: int, bits: int) -> None:
        self.free_counts[worker] -= (self.free_bits[worker] & bits).bit_count()
        self.free_bits[worker] &= ~bits

    def _give(self, worker: int, bits: int) -> None:
        self.free_bits[worker] |= bits
        self.free_counts[worker] = self.free_bits[worker].bit_count()

    def _remove_incoming(self, job_id: str) -> None:
        holding = self._incoming.pop(job_id)
        self._cached_borrowers.pop(holding.organisation, None)
        for victim, waiting in list(self._stopping.items()):
            waiting.discard(job_id)
            if not waiting:
                del self._stopping[victim]
                self._cached_borrowers.pop(self._holdings[victim].organisation, None)

    def _read_held(self, worker: int) -> int:
        """Return the bits of a worker that some job holds."""
        name = self.workers[worker].name
        held = 0
        for job_id in self.jobs_on[worker]:
            for member in self._holdings[job_id].members:
                if member.worker == name:
                    held |= _make_bits(member.accelerators)
        return held

    def _check_opened(self, holding: Holding) -> None:
        if not self.is_opened(holding.job_id):
            raise ValueError(f"victims still hold the place of {holding.job_id}")

    def _read_members(
        self, members: Sequence[Member], may_be_held: bool
    ) -> list[tuple[int, int]]:
        """Return worker index and bits of each member, checked to be free."""
        taken = []
        for member in members:
            worker = self.index.get(member.worker)
            if worker is None:
                raise ValueError(f"{member.worker} is not a worker of this cell")
            bits = _make_bits(member.accelerators)
            if not may_be_held and bits & ~self.free_bits[worker]:
                name = member.worker
                raise ValueError(f"accelerators of {name} are held by another job")
            taken.append((worker, bits))
        return taken


def _rank_for_guarantee(holding: Holding) -> tuple[bool, bool, float, str]:
    return (
        holding.evictable,
        holding.urgency is Urgency.PATIENT,
        holding.started_at,
        holding.job_id,
    )


def _make_bits(accelerators: Sequence[int]) -> int:
    bits = 0
    for number in accelerators:
        bits |= 1 << number
    return bits


def _make_layout(workers: Sequence[Worker], usable: Sequence[bool]) -> Layout:
    racks: dict[str, list[int]] = {}
    for index, worker in enumerate(workers):
        racks.setdefault(worker.rack, []).append(index)
    rack_of = {
        worker: rack
        for rack, members in enumerate(racks.values())
        for worker in members
    }
    return Layout(
        tuple(
            worker.accelerators if usable[index] else 0
            for index, worker in enumerate(workers)
        ),
        tuple(rack_of[index] for index in range(len(workers))),
        tuple(tuple(members) for members in racks.values()),
    )
