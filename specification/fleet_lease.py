"""A task on an unreachable worker runs elsewhere only once the worker's lease is over.

The steps of `fleet_task`, in whole ticks: the leases of workers and owners expire, a
start is valid for some ticks, a worker's clock may lose one tick, and an owner waits
for a silent worker's lease. Runs end only with a lease, and nothing is stopped.

What the model shows: a fence alone does not stop a former owner. Its start may reach
a worker that never saw the new owner's fence and whose run the new owner has already
waited out. That wait is long enough only if the former owner checks its own lease
before it sends, and extends workers' leases for a bounded time only.

Left out: what `fleet_task` leaves out, and clocks that lose more than one tick.
"""

from specification.explore import Model
from specification.fleet_task import Phase, State, list_steps, runs_once
from specification.guards import Guard

MODEL = Model(
    name="fleet lease",
    initial=State(timed=True),
    steps=list_steps,
    properties={"a task never runs twice at once": runs_once},
    witnesses={
        "an owner that never reached a run's worker waits it out": lambda state: (
            state.second is not None
            and state.second.unacquired
            and state.second.belief.phase is Phase.WAITING
        ),
        "a start is in flight after its owner's lease": lambda state: (
            state.second is not None and any(each.fence == 1 for each in state.starts)
        ),
    },
    guards=(
        Guard.SILENCE_WAITED_OUT,
        Guard.SLOW_CLOCK_ALLOWED_FOR,
        Guard.NO_ORDER_PAST_LEASE,
        Guard.CARE_IS_BOUNDED,
    ),
)
