"""A task whose worker can't be asked runs elsewhere only once its lease is over.

The steps of `fleet_task`, in whole ticks: a worker's lease and an owner's run out, a
start holds for some ticks, a worker's clock may lose one, and an owner that hears
nothing of a worker waits. Nothing ends but by a lease, and nothing is stopped.

What is found here: a fence alone does not stop a former owner. Its start may reach a
worker that the new owner could not show its fence to, and that it has given up after
waiting; only an owner that looks at its own lease before it sends, and leases that it
extends for a bounded time, make that wait long enough.

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
        "a run is waited out by an owner that never reached it": lambda state: (
            state.second is not None
            and state.second.blind
            and state.second.belief.phase is Phase.WAITING
        ),
        "a start is on its way after its owner's lease": lambda state: (
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
