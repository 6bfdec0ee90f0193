from typing import Any

from behave import given, then, when

from primrosestile.decisions.cell import CellView, Demand, Holding
from primrosestile.decisions.guarantees import is_reclaimable
from primrosestile.decisions.placement import Placed, Reclaim, decide_placement
from primrosestile.state.fleet import Worker
from primrosestile.state.tenancy import Adjacency, Policy, Shape, Urgency


@given(
    "a tiny cell with racks of {first:d} and {second:d} workers "
    "with {count:d} accelerators"
)
def make_tiny_cell(context: Any, first: int, second: int, count: int) -> None:
    context.tiny_workers = [
        Worker(f"w{rack}-{index}", f"r{rack}", "", accelerators=count)
        for rack, size in enumerate((first, second))
        for index in range(size)
    ]
    context.tiny_asked = 0


def read_guarantee(text: str) -> tuple[str, Shape]:
    owner, count, adjacency = text.split()
    return owner, Shape(int(count), Adjacency(adjacency))


@given('the tiny cell guarantees "{guarantees}"')
def guarantee_tiny(context: Any, guarantees: str) -> None:
    promised = [read_guarantee(each) for each in guarantees.split(", ")]
    context.tiny = CellView(context.tiny_workers, promised)


@when('the tiny cell is asked for "{shape}, {kind}"')
def ask_tiny(context: Any, shape: str, kind: str) -> None:
    """Ask as urgent work and apply the decision; victims have not stopped yet."""
    owner, wanted = read_guarantee(shape)
    context.tiny_asked += 1
    now = 10.0 * context.tiny_asked
    fields: dict[str, Any] = {
        "job_id": f"j{context.tiny_asked}",
        "organisation": owner,
        "team": "team",
        "shape": wanted,
        "urgency": Urgency.URGENT,
        "evictable": kind == "preemptible",
        "checkpoints": False,
    }
    demand = Demand(job_class="c", accepted_at=now, declared_seconds=10.0, **fields)
    decision = decide_placement(context.tiny, demand, Policy(), now)
    context.tiny_decision = decision
    if not isinstance(decision, Placed | Reclaim):
        return
    holding = Holding(
        members=decision.members, started_at=now, checkpointed_at=now, **fields
    )
    if isinstance(decision, Placed):
        context.tiny.hold(holding)
    else:
        context.tiny.begin_reclaim(holding, decision.victims)


@when("job {number:d} of the tiny cell ends")
def end_tiny_job(context: Any, number: int) -> None:
    context.tiny.release(f"j{number}")


@when("worker {worker:d} of the tiny cell is lost")
def lose_tiny_worker(context: Any, worker: int) -> None:
    context.tiny.set_usable(context.tiny_workers[worker].name, False)


@when("worker {worker:d} of the tiny cell returns")
def return_tiny_worker(context: Any, worker: int) -> None:
    context.tiny.set_usable(context.tiny_workers[worker].name, True)


@then("the last request of the tiny cell is placed or reclaimed at once")
def check_tiny_placed(context: Any) -> None:
    assert isinstance(context.tiny_decision, Placed | Reclaim), context.tiny_decision


@then("every guarantee of the tiny cell has an allocation")
def check_tiny_allocations(context: Any) -> None:
    assert is_reclaimable(context.tiny)
