"""Faults of one of the platform's in-memory workers."""

from dataclasses import dataclass, field

STOP_SECONDS = 0.2


@dataclass(slots=True)
class FleetWorkerFaults:
    """The active faults of one worker.

    Attributes:
        cut: A partition drops calls and answers; the worker runs on.
        fails_all: Every run on it fails at its end.
        stalled_tasks: Its tasks make no progress.
        ignores_polls: Polls are not answered; orders are.
        late_orders: Delays of the next orders, in seconds; none is answered.
        lose_answers: How many of the next orders take effect without an answer.
        unhealthy: It refuses every start.
        stop_seconds: Duration of a stop; the platform's pages allow 0.4 s.
        clock_jumps: Errors of the times in its next answers, in seconds.
        number_jumps: By how much the number of the last end is too high in its next
            poll answers that list one.
        overcommits: It starts tasks that do not fit.
        resets: It resets the connection of every call; what runs goes on.
        unresponsive: After a crash its address answers nothing, instead of refusing
            connections.
    """

    cut: bool = False
    fails_all: bool = False
    stalled_tasks: bool = False
    ignores_polls: bool = False
    late_orders: list[float] = field(default_factory=list)
    lose_answers: int = 0
    unhealthy: bool = False
    stop_seconds: float = STOP_SECONDS
    clock_jumps: list[float] = field(default_factory=list)
    number_jumps: list[int] = field(default_factory=list)
    overcommits: bool = False
    resets: bool = False
    unresponsive: bool = False
