"""Order of the waiting jobs, and backfill around the reservation of the oldest.

Designed for demand at three times the capacity, where two needs conflict: a short
preview must not wait behind a night of renders, and a render must not be overtaken by
short jobs for ever. So jobs are ordered by remaining work, with aging, and a job that
has waited past a limit gets a reservation. Other jobs may use the reserved accelerators
as long as they should, by measured run times, end before the reserved job can start.
"""

from collections.abc import Iterable, Sequence
from dataclasses import replace

from primrosestile.decisions.cell import CellView, Demand, Reservation
from primrosestile.decisions.cell_charges import Pinned
from primrosestile.decisions.fragmentation import weigh_shapes
from primrosestile.decisions.placement_candidates import list_free, list_places
from primrosestile.decisions.reclaim import is_entitled
from primrosestile.decisions.run_times import RunTimes
from primrosestile.state.tenancy import Policy, Urgency

# Seconds of waiting that halve the ordering cost of a job (aging). At three times the
# capacity the queue grows without bound and the ordering alone decides: a shorter time
# comes close to first come, first served; with a longer one, a long job is overtaken
# all night.
AGING_SECONDS = 1800.0

# Seconds of waiting after which a patient job goes before all other patient work and
# gets a reservation. From then on it waits at most until the work that holds its
# accelerators ends, one such job after the other in the order of acceptance. An
# overnight render that is accepted by midnight then starts in the early morning.
PATIENT_WAIT_LIMIT_SECONDS = 4 * 3600.0

# A job is ordered by the median run time of its class, and backfills only if nine in
# ten of its class would end in time.
ORDER_QUANTILE = 0.5
BACKFILL_QUANTILE = 0.9

# Minimum share of the whole run time that counts as remaining. Without it a job with
# more saved work than its class usually needs would look finished and go before all
# others.
MIN_REMAINING_SHARE = 0.1


def order_demands(
    demands: Iterable[Demand],
    view: CellView,
    policy: Policy,
    run_times: RunTimes,
    now: float,
) -> list[Demand]:
    """Order the waiting jobs, and make the reservation for one that waited too long.

    Also sets the mix of waiting shapes in the view, by which places are scored.

    Args:
        demands: All waiting jobs of the cell.
        view: The cell; its mix and reservation are replaced.
        policy: Weights of completion time and fragmentation.
        run_times: Measured run times of the classes.
        now: Seconds, on the clock of the demands.

    Returns:
        The jobs in the order of decision, each with its expected run time.
    """
    waiting = list(demands)
    view.mix = weigh_shapes(view, waiting)
    ranked = [
        (_rank(demand, view, policy, run_times, now), demand.job_id, demand)
        for demand in waiting
    ]
    ranked.sort(key=lambda each: each[:2])
    ordered = [
        replace(
            demand,
            expected_seconds=_estimate_remaining(demand, run_times, BACKFILL_QUANTILE),
        )
        for _, _, demand in ranked
    ]
    view.reservation = _reserve(ordered, view, now)
    return ordered


def is_overdue(demand: Demand, now: float) -> bool:
    """Whether a job has waited past the limit."""
    return now - demand.accepted_at >= PATIENT_WAIT_LIMIT_SECONDS


def _rank(
    demand: Demand, view: CellView, policy: Policy, run_times: RunTimes, now: float
) -> tuple[int, float]:
    age = max(0.0, now - demand.accepted_at)
    if demand.urgency is Urgency.URGENT:
        # A person waits: first come, first served, those within their organisation's
        # guarantee before those that borrow.
        return (0 if is_entitled(view, demand) else 1), demand.accepted_at
    if is_overdue(demand, now):
        return 2, demand.accepted_at
    seconds = _estimate_remaining(demand, run_times, ORDER_QUANTILE)
    # With all the weight on completion time, jobs are ordered by length times size,
    # which ends most jobs soonest. With all of it on fragmentation, size does not count
    # against a large job: it needs contiguous space while there is some.
    weight = policy.completion_weight + policy.fragmentation_weight
    size_exponent = policy.completion_weight / weight if weight else 1.0
    cost = seconds * demand.shape.accelerators**size_exponent
    return 3, cost / (1.0 + age / AGING_SECONDS)


def _estimate_remaining(demand: Demand, run_times: RunTimes, quantile: float) -> float:
    """Estimate the remaining run time in seconds, less saved work."""
    whole = run_times.estimate(demand.job_class, demand.declared_seconds, quantile)
    return max(whole - demand.done_seconds, whole * MIN_REMAINING_SHARE)


def _reserve(
    ordered: Sequence[Demand], view: CellView, now: float
) -> Reservation | None:
    """Reserve for the first overdue job the place that becomes free soonest."""
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
        if places and _keeps_guarantees(view, overdue, places[0][1]):
            return Reservation(overdue.job_id, places[0][1], starts_at)
    return None


def _keeps_guarantees(view: CellView, demand: Demand, place: dict[int, int]) -> bool:
    if demand.evictable:
        return True
    work = Pinned(demand.organisation, demand.shape, place)
    return view.allocations.find_charge(work) is not None


def list_startable(view: CellView, demand: Demand, now: float) -> list[int]:
    """Return by worker the free accelerators on which a job may start now.

    Reserved accelerators are left out, unless the job should end before the reserved
    one can start anyway. Work within a guarantee is not held back: the reservation only
    applies to work that borrows.
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
