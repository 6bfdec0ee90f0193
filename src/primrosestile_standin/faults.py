"""Faults that tests and the demo switch on while the stand-in runs.

Every fault is a plain field that may be set at any time, because the faults of a
real platform come and go while calls are in progress. The in-memory cores and their
HTTP servers read the same objects, so a fault means the same in both kinds of test.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class StoreFaults:
    """The active faults of the store.

    Attributes:
        down: Every call fails without effect and every watch breaks. Leases still
            expire, which is the worst case of an outage for their holders.
        slow_seconds: Delay of each call before it takes effect.
        lose_answers: How many of the next writes take effect without an answer.
        lose_all_answers: Every write takes effect without an answer.
        silent_watches: Watches stay open but deliver nothing.
        silent: When set, connections that are open go silent; new ones work.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: int = 0
    lose_all_answers: bool = False
    silent_watches: bool = False
    silent: bool = False

    def take_lost_answer(self) -> bool:
        """Return whether this write's answer is lost, and count it."""
        if self.lose_all_answers:
            return True
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True


@dataclass(slots=True)
class WorkerFaults:
    """The active faults of one worker.

    Attributes:
        down: Connections are refused; running tasks continue until their lease
            expires.
        frozen: Calls are never answered and have no effect.
        fail_tasks: Every task fails soon after its start.
        fail_requests: Every request is run and reports a failure.
        refuse_requests: Every request is refused as not run.
        lose_answers: How many of the next calls take effect without an answer.
        late_seconds: Delay of a finished answer.
        crossed: Answers carry the id and body of the previous answer.
        truncated: Answers end before their stated length.
        silent: When set, connections that are open go silent; new ones work.
        slow_factor: Run time of a request as a multiple of the expected one.
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
        """Return whether this call's answer is lost, and count it."""
        if self.lose_answers <= 0:
            return False
        self.lose_answers -= 1
        return True
