"""Whose work is stopped so that a guaranteed or urgent job can start.

Idle guaranteed capacity is lent to anybody's work that can be stopped. It is
worth lending only if it comes back at once, and lending must cost the borrower
as little as possible; so the victims are those who lose the least work.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from primrosestile.decisions.cell import CellView, Demand, Holding
from primrosestile.decisions.placement_rooms import Place, list_free, list_places
from primrosestile.state.tenancy import Urgency

# Seconds that saving progress takes, during which the accelerators do no work.
CHECKPOINT_SECONDS = 2.0

# A victim that saves its progress before it is stopped loses the time that
# saving takes, and, where saving fails, all since its latest checkpoint. One
# failure in ten is assumed: enough to prefer the victim that has saved lately.
CHECKPOINT_FAILURE_SHARE = 0.1

# Cost of starting a stopped job again, in seconds for each of its accelerators.
# It keeps the choice from stopping many small young jobs in place of one.
RESTART_SECONDS = 5.0

# Seconds in which a job is still starting, and what stopping it then is taken to
# cost beside. It has lost least work of all, so it would be the first choice; but
# a start has to end before a stop can begin, and in a cell where something always
# starts, urgent work would wait behind one start after the other.
STARTING_SECONDS = 3.0
STARTING_COST_SECONDS = 300.0

# Most places whose effect on the promises is examined for one decision; the
# rooms of the organisation's own units come on top and always hold. Each look
# can cost a search for rooms: without a limit a full cell of 1,024 workers would
# hold up its other decisions past the 5.8 s in which urgent work starts.
PLACE_LIMIT = 6

# How many of these may search all rooms anew. Where that fails for the best two,
# it seldom succeeds for the rest, and each costs most of a millisecond.
THOROUGH_LIMIT = 2


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
    """Whether a job lies within what its organisation is promised in this cell.

    An urgent job does not count its organisation's own patient work that can be
    stopped: the organisation may use its guarantee for what is urgent now.
    """
    promised = view.count_promised(demand.organisation)
    if demand.shape.accelerators > promised:
        return False
    urgent = demand.urgency is Urgency.URGENT
    held = sum(
        holding.accelerators
        for holding in view.list_held_by(demand.organisation)
        if not (urgent and holding.evictable and holding.urgency is Urgency.PATIENT)
    )
    return held + demand.shape.accelerators <= promised


@dataclass(frozen=True, slots=True)
class Tier:
    """Jobs that may be stopped for a demand.

    Attributes:
        in_own_rooms: Whether only the rooms of the organisation's own units may
            be opened.
    """

    victims: frozenset[str]
    in_own_rooms: bool = False


def list_tiers(view: CellView, demand: Demand, entitled: bool) -> Iterator[Tier]:
    """Yield what may be stopped for a demand, the mildest first.

    Patient borrowers come first. Within a guarantee all borrowers follow, then
    everything that can be stopped, but only in the organisation's own rooms: a
    promise is a promise even when other organisations' guaranteed work sits
    across its only room. That work has a room of its own and goes there next;
    were it stopped elsewhere too, two organisations could stop one another's
    work in turn for ever. Beyond a guarantee only urgent work stops anything,
    and only its own organisation's patient work and patient borrowers.
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
    mild = {
        each.job_id
        for each in patient
        if (urgent or each.organisation != own) and _borrows(view, each)
    }
    yield Tier(frozenset(mild))
    if urgent:
        mild |= {each.job_id for each in patient if each.organisation == own}
        yield Tier(frozenset(mild))
    if not entitled:
        return
    mild |= {
        each.job_id
        for each in evictable
        if each.organisation != own and _borrows(view, each)
    }
    yield Tier(frozenset(mild))
    mild |= {each.job_id for each in evictable if each.organisation != own}
    yield Tier(frozenset(mild), in_own_rooms=True)
    yield Tier(frozenset(each.job_id for each in evictable), in_own_rooms=True)


def _borrows(view: CellView, holding: Holding) -> bool:
    return holding.job_id in view.find_borrowers(holding.organisation)


class Opening:
    """What stopping a set of jobs could open, and at what cost."""

    def __init__(self, view: CellView, allowed: frozenset[str], now: float) -> None:
        self._view = view
        self._now = now
        self._costs: dict[str, float] = {}
        self._free = list_free(view)
        self._held: list[dict[str, int]] = [
            {job_id: count for job_id, count in jobs.items() if job_id in allowed}
            for jobs in view.jobs_on
        ]
        # What is being stopped anyway may give more than its reclaim needs.
        for job_id in view.stopping:
            self._costs[job_id] = 0.0
            for worker, bits in view.read_unclaimed(job_id).items():
                self._held[worker][job_id] = bits.bit_count()
        self.counts = [
            free + sum(jobs.values()) if usable else 0
            for free, jobs, usable in zip(
                self._free, self._held, view.usable, strict=True
            )
        ]
        self._known: dict[tuple[int, int], float] = {}

    def price(self, worker: int, count: int) -> float:
        """Return the lost work of opening some accelerators of one worker."""
        key = (worker, count)
        if key not in self._known:
            victims = self._choose_on(worker, count, set())
            self._known[key] = sum(self._measure(job_id) for job_id in victims)
        return self._known[key]

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
            if self._opens(place, chosen - {job_id}):
                chosen.discard(job_id)
        return tuple(sorted(chosen, key=lambda each: (self._measure(each), each)))

    def measure_lost(self, victims: Iterable[str]) -> float:
        """Return the lost work of stopping these, in accelerator seconds."""
        return sum(self._measure(job_id) for job_id in victims)

    def _opens(self, place: Place, chosen: set[str]) -> bool:
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
