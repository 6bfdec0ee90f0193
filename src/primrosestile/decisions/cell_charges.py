"""Assignment of non-preemptible work to the units of its organisation.

A *unit* is one guaranteed shape of one organisation. Non-preemptible work is *charged*
to a unit of its own organisation whose allocation can enclose it; that unit is then in
use. All other non-preemptible work stays outside the allocations.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from primrosestile.decisions.guarantee_allocations import (
    Allocation,
    Layout,
    Need,
    find_allocations,
)
from primrosestile.state.tenancy import Shape

# Steps of the search that charges all work again, times the number of units that each
# step finds allocations for. It runs when a cell is taken over or loses a worker, not
# on each decision. The limit keeps the takeover within a second or two; past it,
# non-preemptible jobs wait until some work has ended.
RECHARGE_STEP_LIMIT = 10_000

# Maximum number of jobs that are charged again. Beyond it the search would take longer
# than the work; the cell then waits for some of it to end.
RECHARGE_JOB_LIMIT = 300

GuaranteedUnits = Sequence[tuple[str, Shape]]


@dataclass(frozen=True, slots=True)
class Pinned:
    """Non-preemptible work, by worker index and number of accelerators."""

    organisation: str
    shape: Shape
    counts: Mapping[int, int]

    @property
    def accelerators(self) -> int:
        """How many accelerators it holds."""
        return sum(self.counts.values())

    def is_usable(self, layout: Layout) -> bool:
        """Whether all of it is on workers that are usable now."""
        return all(layout.capacity[worker] for worker in self.counts)


def add_charge(need: Need, counts: Mapping[int, int]) -> Need:
    """Return a need whose allocation must enclose some more work."""
    charged = dict(need.charged)
    for worker, count in counts.items():
        charged[worker] = charged.get(worker, 0) + count
    return Need(need.shape, charged)


def list_needs(
    guaranteed: GuaranteedUnits,
    charges: Mapping[str, int],
    pinned: Mapping[str, Pinned],
) -> list[Need]:
    """Return each unit's shape with the work that is charged to it."""
    needs = [Need(shape) for _, shape in guaranteed]
    for job_id, unit in charges.items():
        needs[unit] = add_charge(needs[unit], pinned[job_id].counts)
    return needs


def order_units(
    guaranteed: GuaranteedUnits, organisation: str, used: frozenset[int]
) -> list[int]:
    """Order an organisation's units by which its next work should use first.

    A unit in use is filled before another is started, and a small one is used before a
    large one, so that large ones stay whole.
    """
    own = [unit for unit, (name, _) in enumerate(guaranteed) if name == organisation]
    own.sort(
        key=lambda unit: (unit not in used, guaranteed[unit][1].accelerators, unit)
    )
    return own


@dataclass(frozen=True, slots=True)
class Options:
    """Units that work could use, in order; None means no unit.

    Attributes:
        preferred: Units whose use leaves all other units of the organisation whole, and
            None.
        others: Units that are larger than the work needs, or of another shape.
    """

    preferred: tuple[int | None, ...]
    others: tuple[int | None, ...]

    @property
    def every(self) -> tuple[int | None, ...]:
        """All of them."""
        return self.preferred + self.others


def order_charges(
    guaranteed: GuaranteedUnits, organisation: str, used: frozenset[int], shape: Shape
) -> Options:
    """Order the units that work of a shape could use.

    Work of a guaranteed shape uses only units of that shape. In another unit it would
    still be there once its own unit is free again, and the organisation would then be
    within its guarantee without being able to use all of it.

    For other work, units in use come first, then the smallest unused ones that it would
    fill by more than half. Small work goes outside the allocations rather than into a
    larger unit: a non-preemptible caption job on one accelerator would block its own
    organisation's render of a whole rack.
    """
    own = order_units(guaranteed, organisation, used)
    exact = [unit for unit in own if guaranteed[unit][1] == shape]
    if exact:
        return Options((*exact, None), ())
    unused = [unit for unit in own if unit not in used]
    filled = [
        unit
        for unit in unused
        if 2 * shape.accelerators > guaranteed[unit][1].accelerators
    ]
    fitting = [
        unit for unit in filled if guaranteed[unit][1] == guaranteed[filled[0]][1]
    ]
    preferred = [unit for unit in own if unit in used] + fitting
    others = [unit for unit in unused if unit not in fitting]
    return Options((*preferred, None), tuple(others))


class RechargeSearch:
    """Backtracking search that charges all work again."""

    def __init__(
        self, layout: Layout, guaranteed: GuaranteedUnits, pinned: Mapping[str, Pinned]
    ) -> None:
        self.charges: dict[str, int] = {}
        self._layout = layout
        self._guaranteed = guaranteed
        self._pinned = pinned
        self._work = sorted(
            (job_id for job_id, work in pinned.items() if work.is_usable(layout)),
            key=lambda job_id: (-pinned[job_id].accelerators, job_id),
        )
        self._steps = RECHARGE_STEP_LIMIT // max(1, len(guaranteed))

    def run(self) -> list[Allocation] | None:
        """Return the allocations of all units for `charges`, None if not found."""
        if not 0 < len(self._work) <= RECHARGE_JOB_LIMIT:
            return None
        # Work that is not charged yet counts as free: it may be enclosed by the
        # allocation of its own unit, so leaving it out can only make allocations easier
        # to find.
        available = list(self._layout.capacity)
        for job_id, work in self._pinned.items():
            if job_id not in self._work:
                for worker, count in work.counts.items():
                    available[worker] = max(0, available[worker] - count)
        return self._descend(0, available)

    def _descend(self, level: int, available: list[int]) -> list[Allocation] | None:
        if level == len(self._work):
            return self._find(available)
        job_id = self._work[level]
        work = self._pinned[job_id]
        left = list(available)
        for worker, count in work.counts.items():
            left[worker] -= count
        used = frozenset(self.charges.values())
        for unit in order_charges(
            self._guaranteed, work.organisation, used, work.shape
        ).every:
            self._steps -= 1
            if self._steps < 0:
                return None
            if unit is not None:
                self.charges[job_id] = unit
            if self._find(left) is not None:
                allocations = self._descend(level + 1, left)
                if allocations is not None:
                    return allocations
            self.charges.pop(job_id, None)
        return None

    def _find(self, available: list[int]) -> list[Allocation] | None:
        needs = list_needs(self._guaranteed, self.charges, self._pinned)
        return find_allocations(self._layout, available, needs)
