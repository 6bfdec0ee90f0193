"""What can be wrong with one of the platform's workers in memory."""

from dataclasses import dataclass, field

STOP_SECONDS = 0.2


@dataclass(slots=True)
class FleetWorkerFaults:
    """What is wrong with one worker now.

    Attributes:
        cut: Nothing reaches it and nothing comes back; it runs on.
        fails_all: Every run on it fails at its end.
        frozen_tasks: Its tasks stand still.
        deaf_to_looks: Looks are not answered; orders are.
        late_orders: Delays of the next orders, in seconds; none is answered.
        lose_answers: How many of the next orders are carried out unheard.
        unhealthy: It refuses every start.
        stop_seconds: How long a stop takes; the pages allow 0.4 s.
        clock_jumps: Seconds by which the times in its next answers are wrong.
        number_jumps: By how much the number of the last end is too high in its next
            looks that list one.
        unguarded: It starts what does not fit.
        dark: Once it has crashed, its address answers nothing; else it refuses.
    """

    cut: bool = False
    fails_all: bool = False
    frozen_tasks: bool = False
    deaf_to_looks: bool = False
    late_orders: list[float] = field(default_factory=list)
    lose_answers: int = 0
    unhealthy: bool = False
    stop_seconds: float = STOP_SECONDS
    clock_jumps: list[float] = field(default_factory=list)
    number_jumps: list[int] = field(default_factory=list)
    unguarded: bool = False
    dark: bool = False
