"""One pass over the waiting jobs of a cell.

With demand at three times the capacity, thousands of jobs wait and almost none can
start; deciding about each of them at every release would block the cell for seconds.
Within one pass a start only reduces the free capacity, so once a job has found no
place, no equivalent job can find one either.
"""

from collections.abc import Iterable, Iterator

from primrosestile.decisions.cell import CellView, Demand
from primrosestile.decisions.placement import Decision, Waits, decide_placement
from primrosestile.state.tenancy import Policy, Shape, Urgency


def decide_waiting(
    view: CellView, ordered: Iterable[Demand], policy: Policy, now: float
) -> Iterator[tuple[Demand, Decision]]:
    """Yield the decisions of one pass, in order.

    The caller must record each decision in the view (`hold`, `begin_reclaim`) before it
    asks for the next one.

    Args:
        view: The cell.
        ordered: The waiting jobs, as `order_demands` returns them.
        policy: Weights of completion time and fragmentation.
        now: Seconds, on the clock of the holdings.

    Yields:
        Each job with its decision. A job equivalent to one that already waits in this
        pass gets the same `Waits`.
    """
    waits: dict[tuple[str, Shape, Urgency, bool, bool], Waits] = {}
    for demand in ordered:
        key = _describe(view, demand, now)
        if key in waits:
            yield demand, waits[key]
            continue
        decision = decide_placement(view, demand, policy, now)
        if isinstance(decision, Waits):
            waits[key] = decision
        yield demand, decision


def _describe(
    view: CellView, demand: Demand, now: float
) -> tuple[str, Shape, Urgency, bool, bool]:
    reservation = view.reservation
    reserved = reservation is not None and (
        reservation.job_id != demand.job_id
        and now + demand.expected_seconds > reservation.starts_at
    )
    return (
        demand.organisation,
        demand.shape,
        demand.urgency,
        demand.evictable,
        reserved,
    )
