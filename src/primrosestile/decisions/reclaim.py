"""Whose work is stopped so that a guaranteed or urgent job can start.

Idle guaranteed capacity is lent to anybody's work that can be stopped. It is
worth lending only if it comes back at once, and lending must cost the borrower
as little as possible; so the victims are those who lose the least work.
"""

from collections.abc import Iterator, Sequence

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

# Most places whose effect on the promises is examined for one decision; the
# rooms of the organisation's own units come on top and always hold. Each look
# can cost a search for rooms: without a limit a full cell of 1,024 workers would
# hold up its other decisions past the 5.8 s in which urgent work starts.
PLACE_LIMIT = 6


def measure_lost_work(holding: Holding, now: float) -> float:
    """Measure the work lost by stopping a job now, in accelerator seconds."""
    since = max(0.0, now - max(holding.started_at, holding.checkpointed_at))
    if holding.checkpoints:
        seconds = min(since, CHECKPOINT_SECONDS) + since * CHECKPOINT_FAILURE_SHARE
    else:
        seconds = since
    return (seconds + RESTART_SECONDS) * holding.accelerators


def find_borrowers(view: CellView) -> frozenset[str]:
    """Find the jobs that run beyond what their organisation is promised here.

    An organisation's jobs count against its promise in the order of urgency,
    then of start; the ones past the promised number are borrowing.
    """
    by_organisation: dict[str, list[Holding]] = {}
    for holding in view.holdings.values():
        by_organisation.setdefault(holding.organisation, []).append(holding)
    borrowers = set()
    for organisation, holdings in by_organisation.items():
        left = view.count_promised(organisation)
        holdings.sort(key=_rank_claim)
        for holding in holdings:
            if holding.accelerators <= left:
                left -= holding.accelerators
            else:
                borrowers.add(holding.job_id)
    return frozenset(borrowers)


def _rank_claim(holding: Holding) -> tuple[bool, bool, float, str]:
    return (
        holding.evictable,
        holding.urgency is Urgency.PATIENT,
        holding.started_at,
        holding.job_id,
    )


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
        for holding in view.holdings.values()
        if holding.organisation == demand.organisation
        and not (urgent and holding.evictable and holding.urgency is Urgency.PATIENT)
    )
    return held + demand.shape.accelerators <= promised


def list_victim_tiers(
    view: CellView, demand: Demand, entitled: bool
) -> Iterator[frozenset[str]]:
    """Yield sets of jobs that may be stopped for a demand, the mildest first.

    Patient borrowers come first. Within a guarantee all borrowers follow, then
    everything that can be stopped: a promise is a promise even when another
    organisation's own work happens to sit across its only room; that work has a
    room of its own and goes there next. Beyond a guarantee only urgent work
    stops anything, and only its own organisation's patient work and patient
    borrowers.
    """
    urgent = demand.urgency is Urgency.URGENT
    if not entitled and not urgent:
        return
    borrowers = find_borrowers(view)
    evictable = [each for each in view.holdings.values() if each.evictable]
    patient = [each for each in evictable if each.urgency is Urgency.PATIENT]
    mild = {
        each.job_id
        for each in patient
        if each.job_id in borrowers
        and (urgent or each.organisation != demand.organisation)
    }
    yield frozenset(mild)
    if urgent:
        mild |= {
            each.job_id for each in patient if each.organisation == demand.organisation
        }
        yield frozenset(mild)
    if not entitled:
        return
    mild |= {
        each.job_id
        for each in evictable
        if each.job_id in borrowers and each.organisation != demand.organisation
    }
    yield frozenset(mild)
    mild |= {
        each.job_id for each in evictable if each.organisation != demand.organisation
    }
    yield frozenset(mild)
    yield frozenset(each.job_id for each in evictable)


class Opening:
    """What stopping a set of jobs could open, and at what cost."""

    def __init__(self, view: CellView, allowed: frozenset[str], now: float) -> None:
        self._view = view
        self._costs = {
            job_id: measure_lost_work(view.holdings[job_id], now) for job_id in allowed
        }
        self._free = list_free(view)
        self.counts = list(self._free)
        for worker, jobs in enumerate(view.jobs_on):
            if view.usable[worker]:
                self.counts[worker] += sum(
                    count for job_id, count in jobs.items() if job_id in self._costs
                )
        self._known: dict[tuple[int, int], float] = {}

    def price(self, worker: int, count: int) -> float:
        """Return the lost work of opening some accelerators of one worker."""
        key = (worker, count)
        if key not in self._known:
            victims = self._choose_on(worker, count, set())
            self._known[key] = sum(self._costs[job_id] for job_id in victims)
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
        for job_id in sorted(chosen, key=lambda each: -self._costs[each]):
            if self._opens(place, chosen - {job_id}):
                chosen.discard(job_id)
        return tuple(sorted(chosen, key=lambda each: (self._costs[each], each)))

    def _opens(self, place: Place, chosen: set[str]) -> bool:
        return all(
            self._free[worker] + self._count(worker, chosen) >= count
            for worker, count in place.items()
        )

    def _count(self, worker: int, chosen: set[str]) -> int:
        jobs = self._view.jobs_on[worker]
        return sum(count for job_id, count in jobs.items() if job_id in chosen)

    def _choose_on(self, worker: int, count: int, chosen: set[str]) -> set[str]:
        missing = count - self._free[worker] - self._count(worker, chosen)
        if missing <= 0:
            return set()
        jobs = self._view.jobs_on[worker]
        options = [
            (self._costs[job_id] / min(held, missing), job_id, held)
            for job_id, held in jobs.items()
            if job_id in self._costs and job_id not in chosen
        ]
        options.sort()
        picked: set[str] = set()
        for _, job_id, held in options:
            if missing <= 0:
                break
            picked.add(job_id)
            missing -= held
        return picked


def list_openings(
    view: CellView, allowed: Sequence[frozenset[str]], now: float
) -> Iterator[Opening]:
    """Yield an opening for each set that is larger than the one before."""
    before = -1
    for tier in allowed:
        if len(tier) > before:
            before = len(tier)
            yield Opening(view, tier, now)
