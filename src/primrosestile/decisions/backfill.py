"""Which waiting job is tried first."""

from collections.abc import Iterable

from primrosestile.decisions.cell import CellView, Demand
from primrosestile.decisions.learning import RunTimes
from primrosestile.state.tenancy import Policy, Urgency


def order_demands(
    demands: Iterable[Demand],
    view: CellView,
    policy: Policy,
    learned: RunTimes,
    now: float,
) -> list[Demand]:
    """Order waiting jobs: urgent, then short by experience, aged by waiting."""

    def rank(demand: Demand) -> tuple[bool, float, str]:
        seconds = learned.estimate(demand.job_class, demand.declared_seconds)
        age = max(0.0, now - demand.accepted_at)
        area = seconds * demand.shape.accelerators
        return (
            demand.urgency is Urgency.PATIENT,
            area / (1.0 + age / 3600.0),
            demand.job_id,
        )

    return sorted(demands, key=rank)
