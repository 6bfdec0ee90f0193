"""Which waiting job is tried first, and what may run ahead of the oldest.

Made for a cell that is asked for three times what it has. Two harms pull against
each other: a short preview that waits behind a night of renders, and a render
that never starts because some short job always fits first. So work is ordered by
how soon it would be done, waiting makes it more pressing, and the job that has
waited past a limit gets accelerators reserved. Others may still use these as long
as they will, by experience, have ended before the reserved job can start.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace

from primrosestile.decisions.cell import CellView, Demand, Reservation
from primrosestile.decisions.cell_charges import Pinned
from primrosestile.decisions.fragmentation import weigh_shapes
from primrosestile.decisions.learning import RunTimes
from primrosestile.decisions.placement_rooms import list_free, list_places
from primrosestile.decisions.reclaim import is_entitled
from primrosestile.state.tenancy import Policy, Urgency

# Seconds of waiting that make a job as pressing as one of half its length. At
# three times capacity the queue grows without bound and only the ordering is
# left to decide: shorter, and the order comes close to first come, first served;
# longer, and a long job is overtaken all night.
AGE_SECONDS = 1800.0

# Seconds after which a patient job is tried before all other patient work and
# gets a reservation. From then on it waits at most until the work that holds its
# accelerators ends, one such job after the other in the order of acceptance. An
# overnight render that is accepted by midnight so starts in the early morning.
PATIENT_WAIT_LIMIT = 4 * 3600.0

# A job orders by what it usually takes, and fills a gap only if nine in ten of
# its kind would end in time.
ORDER_QUANTILE = 0.5
FILL_QUANTILE = 0.9

# A job that has run for longer than its kind usually does still has something
# left; without a floor it would look finished and go before all others.
LEAST_LEFT_SHARE = 0.1


def order_demands(
    demands: Iterable[Demand],
    view: CellView,
    policy: Policy,
    learned: RunTimes,
    now: float,
) -> list[Demand]:
    """Order the waiting jobs, and reserve for the one that waited too long.

    Also tells the view the mix of shapes that wait, by which places are scored.

    Args:
        demands: All waiting jobs of the cell.
        view: The cell; its mix and reservation are replaced.
        policy: Weighs completion time against fragmentation.
        learned: Run times from experience.
        now: Seconds, on the clock of the demands.

    Returns:
        The jobs in the order in which to decide about them, each with its
        expected run time.
    """
    waiting = list(demands)
    view.mix = weigh_shapes(view, waiting)
    ranked = [
        (_rank(demand, view, policy, learned, now), demand.job_id, demand)
        for demand in waiting
    ]
    ranked.sort(key=lambda each: each[:2])
    ordered = [
        replace(
            demand,
            expected_seconds=_estimate_left(demand, learned, FILL_QUANTILE),
        )
        for _, _, demand in ranked
    ]
    view.reservation = _reserve(ordered, view, now)
    return ordered


def is_overdue(demand: Demand, now: float) -> bool:
    """Whether a job has waited past the limit."""
    return now - demand.accepted_at >= PATIENT_WAIT_LIMIT


def _rank(
    demand: Demand, view: CellView, policy: Policy, learned: RunTimes, now: float
) -> tuple[int, float]:
    age = max(0.0, now - demand.accepted_at)
    if demand.urgency is Urgency.URGENT:
        # A person waits: first come, first served, those within their
        # organisation's guarantee before those that borrow.
        return (0 if is_entitled(view, demand) else 1), demand.accepted_at
    if is_overdue(demand, now):
        return 2, demand.accepted_at
    seconds = _estimate_left(demand, learned, ORDER_QUANTILE)
    # With all the weight on completion time, work goes by its length times its
    # size, which ends most jobs soonest. With all of it on fragmentation, a
    # large job is not held back for being large: it needs the room while the
    # room is whole.
    weight = policy.completion_weight + policy.fragmentation_weight
    size_exponent = policy.completion_weight / weight if weight else 1.0
    cost = seconds * demand.shape.accelerators**size_exponent
    return 3, cost / (1.0 + age / AGE_SECONDS)


def _estimate_left(demand: Demand, learned: RunTimes, quantile: float) -> float:
    """Estimate the seconds of work that are left, less what was saved."""
    whole = learned.estimate(demand.job_class, demand.declared_seconds, quantile)
    return max(whole - demand.done_seconds, whole * LEAST_LEFT_SHARE)


def _reserve(
    ordered: Sequence[Demand], view: CellView, now: float
) -> Reservation | None:
    """Reserve for the first overdue job the place that is free soonest."""
    overdue = next(
        (
            demand
            for demand in ordered
            if demand.urgency is Urgency.PATIENT and is_overdue(demand, now)
        ),
        None,
    )
    if overdue is None:
        return None
    counts = list_free(view)
    ends = [now] * len(counts)
    running = sorted(view.holdings.values(), key=lambda each: max(now, each.ends_at))
    starts_at = now
    for holding in (None, *running):
        if holding is not None:
            starts_at = max(now, holding.ends_at)
            for worker, count in view.locate(holding).items():
                if view.usable[worker]:
                    counts[worker] += count
                    ends[worker] = starts_at
        if sum(counts) < overdue.shape.accelerators:
            continue
        places = list_places(
            view.layout, counts, overdue.shape, lambda worker, _: ends[worker], 1
        )
        if places and _keeps_promises(view, overdue, places[0][1]):
            return Reservation(overdue.job_id, places[0][1], starts_at)
    return None


def _keeps_promises(view: CellView, demand: Demand, place: dict[int, int]) -> bool:
    if demand.evictable:
        return True
    work = Pinned(demand.organisation, demand.shape, place)
    return view.rooms.find_charge(work) is not None


def list_open(view: CellView, demand: Demand, now: float) -> list[int]:
    """Return by worker the free accelerators on which a job may start now.

    What is reserved is left out, unless the job should have ended before the
    reserved one could start anyway. Work within a guarantee is not held back:
    the reservation is for work that borrows.
    """
    free = list_free(view)
    reservation = view.reservation
    if reservation is None or reservation.job_id == demand.job_id:
        return free
    expected = demand.expected_seconds or demand.declared_seconds
    if now + expected <= reservation.starts_at or is_entitled(view, demand):
        return free
    for worker, count in reservation.counts.items():
        free[worker] = max(0, free[worker] - count)
    return free
