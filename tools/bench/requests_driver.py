"""Simulates the same request arrivals for every policy on a virtual clock.

Workers are modelled only by slots and time. Each request's run time, and so the offered
load, is drawn before the run; a policy affects it only by where and when it sends the
request.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from primrosestile.decisions.request_queue import QueuedRequest
from primrosestile.state.tenancy import Urgency

CONNECTIONS = 64


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a caller; `run` is its run time in seconds on a usual worker."""

    waiting: QueuedRequest
    run: float
    entry: int
    cancelled_at: float | None = None


@dataclass(frozen=True, slots=True)
class Plan:
    """One workload: arrivals in order, and the faults of workers."""

    name: str
    arrivals: tuple[Arrival, ...]
    workers: int = 24
    slots: int = 8
    entries: int = 6
    slow: dict[str, float] = field(default_factory=dict)
    failing: frozenset[str] = frozenset()
    leaving: dict[str, float] = field(default_factory=dict)

    @property
    def worker_names(self) -> list[str]:
        """Names of the plan's workers."""
        return [f"worker-{number}" for number in range(self.workers)]


@dataclass(slots=True)
class Result:
    """What the caller of one request saw."""

    arrival: Arrival
    started: float | None = None
    ended: float | None = None
    good: bool = False
    outcome: str = "open"


@dataclass(slots=True)
class _Worker:
    name: str
    slots: int
    running: int = 0
    queued: int = 0
    waiting: deque[tuple[float, Callable[[bool, float], None]]] = field(
        default_factory=deque
    )


class Clock:
    """A virtual clock that runs scheduled calls in order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def call_at(self, time: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time, or now if that has passed."""
        self._sequence += 1
        heapq.heappush(self._events, (max(time, self.now), self._sequence, call))

    def run(self) -> None:
        """Run until no call is left."""
        while self._events:
            self.now, _, call = heapq.heappop(self._events)
            call()


class Fleet:
    """Workers with slots; requests beyond the slots queue there or are refused."""

    def __init__(self, plan: Plan, clock: Clock, queue_inside: bool) -> None:
        self._plan = plan
        self._clock = clock
        self._queue_inside = queue_inside
        self._workers = {name: _Worker(name, plan.slots) for name in plan.worker_names}
        self.attempts = 0
        self.refused = 0
        self.busy_seconds = 0.0

    def send(self, name: str, run: float, done: Callable[[str, float], None]) -> None:
        """Run a request; `done` gets `ok`, `failed`, `refused` or `leaving`."""
        worker = self._workers[name]
        self.attempts += 1
        sent = self._clock.now

        def finish(ok: bool, seconds: float) -> None:
            done("ok" if ok else "failed", self._clock.now - sent)

        if self._clock.now >= self._plan.leaving.get(name, float("inf")):
            self.refused += 1
            self._clock.call_at(self._clock.now, lambda: done("leaving", 0.0))
        elif worker.running < worker.slots:
            self._start(worker, run, finish)
        elif self._queue_inside and worker.queued < CONNECTIONS:
            worker.queued += 1
            worker.waiting.append((run, finish))
        else:
            self.refused += 1
            self._clock.call_at(self._clock.now, lambda: done("refused", 0.0))

    def _start(
        self, worker: _Worker, run: float, finish: Callable[[bool, float], None]
    ) -> None:
        worker.running += 1
        seconds = run * self._plan.slow.get(worker.name, 1.0)
        ok = worker.name not in self._plan.failing
        if not ok:
            seconds = min(seconds, 0.01)
        self.busy_seconds += seconds

        def end() -> None:
            worker.running -= 1
            finish(ok, seconds)
            if worker.waiting and worker.running < worker.slots:
                worker.queued -= 1
                self._start(worker, *worker.waiting.popleft())

        self._clock.call_at(self._clock.now + seconds, end)


class Entries(Protocol):
    """A policy under test, as all entries together."""

    def arrive(self, result: Result) -> None:
        """Accept one request."""

    def cancel(self, results: list[Result]) -> None:
        """Cancel those that still wait."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one policy on one plan."""

    results: list[Result]
    attempts: int
    refused_by_workers: int
    busy_seconds: float


Factory = Callable[[Plan, Clock, Fleet], Entries]


def drive(plan: Plan, factory: Factory, queue_inside: bool) -> Outcome:
    """Simulate one plan with one policy to its end."""
    clock = Clock()
    fleet = Fleet(plan, clock, queue_inside)
    entries = factory(plan, clock, fleet)
    results = [Result(arrival) for arrival in plan.arrivals]
    waves: dict[float, list[Result]] = {}
    for result in results:
        arrived = result.arrival.waiting.arrived_at
        clock.call_at(arrived, lambda result=result: entries.arrive(result))
        if result.arrival.cancelled_at is not None:
            waves.setdefault(result.arrival.cancelled_at, []).append(result)
    for time, wave in waves.items():
        clock.call_at(time, lambda wave=wave: entries.cancel(wave))
    clock.run()
    return Outcome(results, fleet.attempts, fleet.refused, fleet.busy_seconds)


@dataclass(frozen=True, slots=True)
class Source:
    """A stream of requests of one class."""

    organisation: str
    job_class: str
    urgency: Urgency
    rate: float
    run: float
    deadline: float
    idempotent: bool = True
    declared: float | None = None
    begin: float = 0.0
    end: float = 60.0
    entry: int | None = None
    shape: str = "exponential"


def make_arrivals(
    sources: list[Source], entries: int, seed: int
) -> tuple[Arrival, ...]:
    """Return the arrivals of all sources in order; equal seeds give equal arrivals."""
    arrivals = []
    for number, source in enumerate(sources):
        draw = random.Random(seed * 1000 + number)
        time = source.begin + draw.expovariate(source.rate)
        while time < source.end:
            run = (
                draw.expovariate(1 / source.run)
                if source.shape == "exponential"
                else draw.uniform(0.5, 1.5) * source.run
            )
            waiting = QueuedRequest(
                request_id=f"{number}-{len(arrivals)}",
                organisation=source.organisation,
                team=source.organisation,
                job_class=source.job_class,
                urgency=source.urgency,
                idempotent=source.idempotent,
                arrived_at=time,
                deadline=time + source.deadline,
                expected_seconds=source.declared or source.run,
            )
            entry = draw.randrange(entries) if source.entry is None else source.entry
            arrivals.append(Arrival(waiting, run, entry))
            time += draw.expovariate(source.rate)
    arrivals.sort(key=lambda arrival: arrival.waiting.arrived_at)
    return tuple(arrivals)
