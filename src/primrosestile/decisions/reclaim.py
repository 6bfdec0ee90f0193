"""Choice of the victims that are stopped for a guaranteed or urgent job.

Idle guaranteed capacity is lent to any preemptible work. It must come back at
once and at the least cost for the borrower, so the victims are those that lose the
least work.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from primrosestile.decisions.cell import CellView, Demand, Holding
from primrosestile.decisions.placement_candidates import Place, list_free, list_places
from primrosestile.state.tenancy import Urgency

# Seconds that a checkpoint takes, during which the accelerators do no work.
CHECKPOINT_SECONDS = 2.0

# A victim that checkpoints before it is stopped loses the time of the checkpoint and,
# where that fails, all work since the previous one. One failure in ten is assumed:
# enough to prefer the victim with the more recent checkpoint.
CHECKPOINT_FAILURE_SHARE = 0.1

# Cost of restarting a stopped job, in seconds for each of its accelerators. Without it
# many small young jobs would be chosen in place of one.
RESTART_SECONDS = 5.0

# Seconds for which a job counts as still starting, and the added cost of stopping it
# then. It has lost least work of all and would be the first choice; but a stop can only
# begin when the start has ended, and in a cell where something always starts, urgent
# work would wait for one start after the other.
STARTING_SECONDS = 3.0
STARTING_COST_SECONDS = 300.0

# Maximum number of places whose effect on the guarantees is examined for one decision;
# the allocations of the organisation's own units are examined in addition and need no
# search while no unit is lost. Each check can need a search for allocations: without a
# limit a full cell of 1,024 workers would delay its other decisions past the 5.8 s in
# which urgent work starts.
PLACE_LIMIT = 6

# How many of these may search all allocations again. Where that fails for the best two,
# it seldom succeeds for the rest, and each costs most of a millisecond.
FULL_SEARCH_LIMIT = 2


def measure_lost_work(holding: Holding, now: float) -> float:
    """Measure the work lost by stopping a job now, in accelerator seconds.

    A job that is still starting counts as if it had run for minutes.
    """
    since = max(0.0, now - max(holding.started_at, holding.checkpointed_at))
    if holding.checkpoints:
        seconds = min(since, CHECKPOINT_SECONDS) + since * CHECKPOINT_FAILURE_SHARE
    else:
        seconds = since
    if now - holding.started_at < STARTING_SECONDS:
        seconds += STARTING_COST_SECONDS
    return (seconds + RESTART_SECONDS) * holding.accelerators


def is_entitled(view: CellView, demand: Demand) -> bool:
    """Whether a job is within its organisation's guarantee in this cell.

    For an urgent job, its organisation's own preemptible patient work does not count:
    the organisation may use its guarantee for urgent work first.
    """
    guaranteed = view.count_guaranteed(demand.organisation)
    if demand.shape.accelerators > guaranteed:
        return False
    urgent = demand.urgency is Urgency.URGENT
    held = sum(
        holding.accelerators
        for holding in view.list_held_by(demand.organisation)
        if not (urgent and holding.evictable and holding.urgency is Urgency.PATIENT)
    )
    return held + demand.shape.accelerators <= guaranteed


@dataclass(frozen=True, slots=True)
class Tier:
    """Jobs that may be stopped for a demand.

    Attributes:
        in_own_allocations: Whether only the allocations of the organisation's own units
            may be reclaimed.
    """

    victims: frozenset[str]
    in_own_allocations: bool = False


def list_tiers(view: CellView, demand: Demand, entitled: bool) -> Iterator[Tier]:
    """Yield the jobs that may be stopped for a demand, the mildest tier first.

    Patient borrowers come first. Within a guarantee all borrowers follow, then all
    preemptible work, but only in the organisation's own allocations: the guarantee
    holds even if guaranteed work of other organisations occupies its only allocation.
    That work has an allocation of its own and moves there; if it could be stopped
    elsewhere too, two organisations could preempt each other in turn for ever. Beyond a
    guarantee only urgent work preempts, and only its own organisation's patient work
    and patient borrowers.
    """
    urgent = demand.urgency is Urgency.URGENT
    if not entitled and not urgent:
        return
    own = demand.organisation
    evictable = [
        each
        for job_id, each in view.holdings.items()
        if each.evictable and job_id not in view.stopping
    ]
    patient = [each for each in evictable if each.urgency is Urgency.PATIENT]
    allowed = {
        each.job_id
        for each in patient
        if (urgent or each.organisation != own) and _borrows(view, each)
    }
    yield Tier(frozenset(allowed))
    if urgent:
        allowed |= {each.job_id for each in patient if each.organisation == own}
        yield Tier(frozenset(allowed))
    if not entitled:
        return
    allowed |= {
        each.job_id
        for each in evictable
        if each.organisation != own and _borrows(view, each)
    }
    yield Tier(frozenset(allowed))
    allowed |= {each.job_id for each in evictable if each.organisation != own}
    yield Tier(frozenset(allowed), in_own_allocations=True)
    yield Tier(frozenset(each.job_id for each in evictable), in_own_allocations=True)


def _borrows(view: CellView, holding: Holding) -> bool:
    return holding.job_id in view.find_borrowers(holding.organisation)


class VictimSelector:
    """Accelerators that stopping a set of jobs could free, and the cost."""

    def __init__(self, view: CellView, allowed: frozenset[str], now: float) -> None:
        self._view = view
        self._now = now
        self._costs: dict[str, float] = {}
        self._free = list_free(view)
        self._held: list[dict[str, int]] = [
            {job_id: count for job_id, count in jobs.items() if job_id in allowed}
            for jobs in view.jobs_on
        ]
        # A job that is being stopped anyway may free more than its reclaim needs.
        for job_id in view.stopping:
            self._costs[job_id] = 0.0
            for worker, bits in view.read_uncommitted(job_id).items():
                self._held[worker][job_id] = bits.bit_count()
        self.counts = [
            free + sum(jobs.values()) if usable else 0
            for free, jobs, usable in zip(
                self._free, self._held, view.usable, strict=True
            )
        ]
        self._cached_prices: dict[tuple[int, int], float] = {}

    def price(self, worker: int, count: int) -> float:
        """Return the work lost by freeing some accelerators of one worker."""
        key = (worker, count)
        if key not in self._cached_prices:
            victims = self._choose_on(worker, count, set())
            self._cached_prices[key] = sum(self._measure(job_id) for job_id in victims)
        return self._cached_prices[key]

    def list_places(self, demand: Demand, limit: int) -> list[tuple[float, Place]]:
        """List places for a demand, those with the least lost work first."""
        layout = self._view.layout
        return list_places(layout, self.counts, demand.shape, self.price, limit)

    def choose_victims(self, place: Place) -> tuple[str, ...]:
        """Choose the jobs to stop for a place; none of them is superfluous."""
        chosen: set[str] = set()
        for worker, count in sorted(place.items()):
            chosen |= self._choose_on(worker, count, chosen)
        for job_id in sorted(chosen, key=lambda each: (-self._measure(each), each)):
            if self._frees_enough(place, chosen - {job_id}):
                chosen.discard(job_id)
        return tuple(sorted(chosen, key=lambda each: (self._measure(each), each)))

    def measure_lost(self, victims: Iterable[str]) -> float:
        """Return the work lost by stopping the victims, in accelerator seconds."""
        return sum(self._measure(job_id) for job_id in victims)

    def _frees_enough(self, place: Place, chosen: set[str]) -> bool:
        return all(
            self._free[worker] + self._count(worker, chosen) >= count
            for worker, count in place.items()
        )

    def _measure(self, job_id: str) -> float:
        if job_id not in self._costs:
            holding = self._view.holdings[job_id]
            self._costs[job_id] = measure_lost_work(holding, self._now)
        return self._costs[job_id]

    def _count(self, worker: int, chosen: set[str]) -> int:
        if not chosen:
            return 0
        jobs = self._held[worker]
        return sum(count for job_id, count in jobs.items() if job_id in chosen)

    def _choose_on(self, worker: int, count: int, chosen: set[str]) -> set[str]:
        missing = count - self._free[worker] - self._count(worker, chosen)
        if missing <= 0:
            return set()
        options = [
            (self._measure(job_id) / max(1, min(held, missing)), job_id, held)
            for job_id, held in self._held[worker].items()
            if job_id not in chosen
        ]
        options.sort()
        picked: set[str] = set()
        for _, job_id, held in options:
            if missing <= 0:
                break
            if held:
                picked.add(job_id)
                missing -= held
        return picked
