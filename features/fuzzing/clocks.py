"""One worker's clock and lease, and the owner's estimate of them from its answers."""

import math
from dataclasses import dataclass

from hypothesis import strategies as st

from primrosestile.coordination.work.worker_clock import (
    ClockReading,
    WorkerClock,
)

MAX_LEASE_SECONDS = 10.0
SILENCE_SECONDS = 30.0
STEP_SECONDS = 0.05
FAR_SECONDS = (7.0, 3600.0, 1e9, -3600.0)
WRONG_BY_SECONDS = (0.2, 0.9, 2.0, -0.5, -3.0, *FAR_SECONDS)


@dataclass(frozen=True, slots=True)
class Call:
    """One call and its answer.

    Attributes:
        pause: Seconds before the call is sent.
        out: Seconds from the owner to the worker.
        waits: Seconds at the worker before the answer is made.
        back: Seconds from the worker to the owner.
        wrong: Seconds added to the worker's time in the answer.
        lost: Whether no answer arrives.
    """

    pause: float
    out: float
    waits: float
    back: float
    wrong: float
    lost: bool


@dataclass(frozen=True, slots=True)
class Course:
    """Calls to a worker, followed by silence."""

    rate: float
    began: float
    calls: tuple[Call, ...]


def make_courses(
    wrong_answers: int, wrong_by: tuple[float, ...] = WRONG_BY_SECONDS
) -> st.SearchStrategy[Course]:
    """Return courses with at most `wrong_answers` answers that hold a wrong time."""
    ways = st.sampled_from((0.0, 0.002, 0.05, 0.3))
    honest = st.builds(
        Call,
        pause=st.sampled_from((0.0, 0.15, 1.0, 5.0)),
        out=ways,
        waits=st.sampled_from((0.0, 0.0, 0.4, 1.0)),
        back=ways,
        wrong=st.just(0.0),
        lost=st.sampled_from((False, False, False, True)),
    )
    wrong = st.builds(
        Call,
        pause=st.sampled_from((0.0, 0.15, 1.0)),
        out=ways,
        waits=st.sampled_from((0.0, 1.0)),
        back=ways,
        wrong=st.sampled_from(wrong_by),
        lost=st.just(False),
    )

    @st.composite
    def draw_course(draw: st.DrawFn) -> Course:
        calls = draw(st.lists(honest, min_size=2, max_size=12))
        for _ in range(draw(st.integers(0, wrong_answers))):
            calls.insert(draw(st.integers(0, len(calls))), draw(wrong))
        return Course(
            rate=draw(st.sampled_from((1.0, 0.99, 0.98))),
            began=draw(st.sampled_from((0.0, 400.0, 1e6))),
            calls=tuple(calls),
        )

    return draw_course()


class Worker:
    """A worker's lease as the specification defines it."""

    def __init__(self, course: Course) -> None:
        self.until = 0.0
        self._course = course

    def read_clock(self, now: float) -> float:
        return self._course.began + now * self._course.rate

    def take(self, until: float, now: float) -> None:
        longest = self.read_clock(now) + MAX_LEASE_SECONDS
        self.until = max(self.until, min(until, longest))

    def runs(self, now: float) -> bool:
        return self.read_clock(now) < self.until


def play(course: Course) -> tuple[WorkerClock, Worker, float, float]:
    """Make the calls; return both clocks, the time, and that of the last extension."""
    clock = WorkerClock("v0", MAX_LEASE_SECONDS)
    worker = Worker(course)
    now = extended_at = 100.0
    # An earlier owner requested the longest lease.
    worker.take(math.inf, now)
    for call in course.calls:
        now += call.pause
        assert not (clock.is_lease_over(now) and worker.runs(now)), "over while it runs"
        sent_at = now
        if clock.known:
            until = clock.extend(now)
            worker.take(until, now + call.out)
            extended_at = now
        now += call.out + call.waits
        told = worker.read_clock(now) + call.wrong
        now += call.back
        if not call.lost:
            clock.note(ClockReading(max(0.0, told), sent_at, now))
    return clock, worker, now, extended_at


def check_never_early(course: Course) -> None:
    """A lease never counts as over while the worker's own clock is within it."""
    clock, worker, now, _ = play(course)
    for step in range(int(SILENCE_SECONDS / STEP_SECONDS)):
        at = now + step * STEP_SECONDS
        assert not (clock.is_lease_over(at) and worker.runs(at)), "over while it runs"


def check_not_late(course: Course) -> None:
    """A lease counts as over soon after its end, and a correct clock becomes known."""
    clock, _, now, extended_at = play(course)
    answered = sum(not call.lost for call in course.calls)
    if not any(call.wrong for call in course.calls):
        assert clock.known or answered < 2, "not known after two answers"
    # Earlier owners may have requested the longest lease; a time may be wrong by a
    # call's travel time.
    end = max(now, extended_at) + MAX_LEASE_SECONDS / 0.97 + 3.0
    assert clock.is_lease_over(end) or not clock.known, "not over in time"
