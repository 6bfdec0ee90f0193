"""Faults that tests and the demo switch on while the stand-in runs.

Every fault is a plain field that may be set at any moment, because the faults of
a real platform come and go while calls are under way. The same objects are read
by the cores in memory and by their HTTP ends, so a test means the same by a fault
whichever of the two it uses.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class StoreFaults:
    """What is wrong with the store now.

    Attributes:
        down: Every call fails without effect and every watch breaks. Leases go on
            lapsing: the worst that an outage can do to their holders.
        slow_seconds: How long each call takes before it has its effect.
        lose_answers: How many of the next writes take effect unheard.
        lose_all_answers: Every write takes effect unheard.
        silent_watches: Watches stay open and say nothing.
        silent: When set, connections that are open go silent; new ones work.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    lose_all_answers: bool = False
    silent_watches: bool = False
    silent: bool = False

    def take_lost_answer(self) -> bool:
        """Return whether the answer of this write is lost, counting it."""
        if self.lose_all_answers:
            return True
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True


@dataclass(slots=True)
class WorkerFaults:
    """What is wrong with one worker now.

    Attributes:
        down: Connections are refused; what runs goes on until its lease lapses.
        frozen: Calls are never answered and have no effect.
        fail_tasks: Every task fails soon after it may run.
        fail_requests: Every request is run and reports a failure.
        refuse_requests: Every request is refused as not run.
        lose_answers: How many of the next calls take effect unheard.
        late_seconds: How long a finished answer is held back.
        crossed: Answers carry the id and body of the answer before them.
        truncated: Answers end before their stated length.
        silent: When set, connections that are open go silent; new ones work.
        slow_factor: How many times longer than expected a request takes.
    """

    down: bool = False
    frozen: bool = False
    fail_tasks: bool = False
    fail_requests: bool = False
    refuse_requests: bool = False
    lose_answers: int = 0
    late_seconds: float = 0.0
    crossed: bool = False
    truncated: bool = False
    silent: bool = False
    slow_factor: float = 1.0

    def take_lost_answer(self) -> bool:
        """Return whether the answer of this call is lost, counting it."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True
