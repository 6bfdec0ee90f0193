"""Sums up the fleet's load for processes that decide whether to accept a job.

Load: several times the capacity for tens of seconds. Harm: callers are accepted, and
wait until their result is useless. A process that accepts jobs knows nothing of the
fleet; this tells it what waits, how fast it is started, and for how long a new job
would wait.

The expected wait is the accelerators that go before a new job, by `queue_order`, by the
rate at which the pool's are given out. Every doubt makes it shorter: work that is no
longer of use to its caller doesn't count, nor do services and steps that can't start
yet; starts of all queues make the rate, since lower ones give way; and a pool whose
runs end sooner than the starts of five seconds show counts with that faster rate.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from itertools import islice
from typing import TypeVar

from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.load_history import LoadHistory
from primrosestile.decisions.work.queue_order import count_accelerators, rank_unit
from primrosestile.decisions.work.units import Job, Unit
from primrosestile.state.load import (
    MAX_AGE_SECONDS,
    MAX_SUMMARY_BYTES,
    LoadSummary,
    PoolLoad,
    QueueLoad,
    UrgentUse,
    encode_load,
)
from primrosestile.state.policy import Queue
from primrosestile.state.work import Need, Phase

V = TypeVar("V")

# Entries of one kind that a summary holds at first; halved until it fits its bound.
MAX_ENTRIES = 512


@dataclass(slots=True)
class _QueueWaits:
    """What waits in one queue."""

    accelerators: int = 0
    jobs: Counter[str] = field(default_factory=Counter)
    least: dict[str, int] = field(default_factory=dict)

    def add(self, unit: Unit, count: int) -> int:
        """Count waiting units of one step; return the accelerators that they need."""
        need = unit.size * unit.step.need.accelerators
        self.accelerators += count * need
        label = unit.step.label
        if need:
            self.least[label] = min(need, self.least.get(label, need))
        return count * need


@dataclass(slots=True)
class _Waits:
    """What waits, by queue, and by pool, priority and lateness."""

    queues: defaultdict[str, _QueueWaits]
    ahead: Counter[tuple[str, int, bool]]


@dataclass(slots=True)
class _PoolUse:
    """Accelerators of a pool, those that run tasks, and the sum of their run times."""

    accelerators: int = 0
    running: int = 0
    run_seconds: float = 0.0

    def find_turnover(self) -> float:
        """Return the accelerators that become free per second when all are used."""
        if not self.run_seconds:
            return 0.0
        return self.accelerators * self.running / self.run_seconds


def summarise_load(
    fleet_state: FleetState,
    durations: Durations,
    history: LoadHistory,
    now: float,
    fence: int,
    revision: int,
) -> LoadSummary:
    """Return the summary of the fleet's load, within its bound.

    Args:
        fleet_state: The owner's state.
        durations: Expected run times.
        history: Counted starts, and the largest workers.
        now: On the loop's clock.
        fence: The owner's.
        revision: Higher than that of its earlier summaries.
    """
    waits = _collect_waits(fleet_state, durations, now)
    rates = history.find_rates(now)
    pools = _sum_up_pools(fleet_state, durations, history, rates)
    queues = {
        queue.name: _sum_up_queue(queue, waits, pools, rates, durations)
        for queue in fleet_state.policy.queues
    }
    urgent = _sum_up_urgent(fleet_state, durations, now)
    return _bound(
        LoadSummary(
            fence, revision, queues=_sort_queues(queues), pools=pools, urgent=urgent
        )
    )


def _collect_waits(fleet_state: FleetState, durations: Durations, now: float) -> _Waits:
    waits = _Waits(defaultdict(_QueueWaits), Counter())
    for job in fleet_state.jobs.values():
        if not job.state.final:
            _add_waits(waits, job, durations, now)
    return waits


def _add_waits(waits: _Waits, job: Job, durations: Durations, now: float) -> None:
    # Units of one step are alike, and a fleet may have thousands: they are counted by
    # step, and ranked once.
    counts: dict[tuple[int, int], int] = {}
    examples: dict[tuple[int, int], Unit] = {}
    for key, unit in job.units.items():
        if unit.ready_at is not None and unit.idle:
            step = key[:2]
            counts[step] = counts.get(step, 0) + 1
            examples[step] = unit
    queue = waits.queues[job.submission.queue]
    counted = False
    for step, unit in examples.items():
        if unit.step.daemon:
            continue
        counted = True
        rank = rank_unit(unit, now, False, durations)
        if not rank.useless:
            need = queue.add(unit, counts[step])
            waits.ahead[unit.pool, rank.priority, rank.late] += need
    if counted:
        queue.jobs[job.submission.organisation] += 1


def _sum_up_pools(
    fleet_state: FleetState,
    durations: Durations,
    history: LoadHistory,
    rates: dict[tuple[str, str], float],
) -> dict[str, PoolLoad]:
    uses: defaultdict[str, _PoolUse] = defaultdict(_PoolUse)
    for worker in fleet_state.workers.values():
        use = uses[worker.entry.pool]
        use.accelerators += worker.entry.capacity.accelerators
        for member in worker.members.values():
            accelerators = member.unit.step.need.accelerators
            if accelerators and not member.unit.step.daemon:
                use.running += accelerators
                seconds = durations.guess_unit(member.unit)
                use.run_seconds += accelerators * seconds
    history.record_workers(fleet_state.workers.values())
    workers: defaultdict[str, dict[str, Need]] = defaultdict(dict)
    for (pool, label), capacity in history.capacities.items():
        workers[pool][label] = capacity
    pools = {}
    for name in fleet_state.policy.pools:
        use = uses[name]
        started = sum(rate for (pool, _), rate in rates.items() if pool == name)
        if started:
            started = max(started, use.find_turnover())
        pools[name] = PoolLoad(use.accelerators, started, workers[name])
    return pools


def _sum_up_queue(
    queue: Queue,
    waits: _Waits,
    pools: dict[str, PoolLoad],
    rates: dict[tuple[str, str], float],
    durations: Durations,
) -> QueueLoad:
    pool = pools.get(queue.pool, PoolLoad())
    own = waits.queues[queue.name]
    ahead = fresh = 0
    for (name, priority, late), accelerators in waits.ahead.items():
        if name != queue.pool or priority > queue.priority:
            continue
        ahead += accelerators
        # Late work goes behind a new job, but late urgent work before lower queues'.
        if not late or priority == 0 < queue.priority:
            fresh += accelerators
    return QueueLoad(
        queue.pool,
        own.accelerators,
        rates.get((queue.pool, queue.name), 0.0),
        ahead / pool.started if pool.started else 0.0,
        fresh / pool.started if pool.started else 0.0,
        durations.find_mean(queue.name),
        dict(own.jobs.most_common()),
        own.least,
    )


def _sum_up_urgent(
    fleet_state: FleetState, durations: Durations, now: float
) -> dict[str, UrgentUse]:
    uses: dict[str, UrgentUse] = {}
    for job in fleet_state.jobs.values():
        if job.queue.priority or job.state.final:
            continue
        need = count_accelerators(job.submission.steps)
        staying = need if _will_stay(job, durations, now) else 0
        use = uses.get(job.submission.organisation, UrgentUse())
        uses[job.submission.organisation] = UrgentUse(
            use.total + need, use.staying + staying
        )
    ordered = sorted(uses.items(), key=lambda pair: -pair[1].staying)
    return dict(ordered)


def _will_stay(job: Job, durations: Durations, now: float) -> bool:
    """Whether a job has not ended by the time when a summary is too old to use.

    Its use would otherwise count against a guarantee that is free again.
    """
    for unit in job.units.values():
        if unit.phase is Phase.WAITING:
            return True
        lefts = [durations.guess_left(each, now) for each in unit.members]
        if unit.phase is Phase.ORDERED and max(lefts, default=0.0) > MAX_AGE_SECONDS:
            return True
    return not job.units


def _sort_queues(queues: dict[str, QueueLoad]) -> dict[str, QueueLoad]:
    """Return the queues with the longest wait first, for a cut of the rest."""
    return dict(sorted(queues.items(), key=lambda pair: -pair[1].wait))


def _bound(summary: LoadSummary) -> LoadSummary:
    """Return a summary cut to its bound; what is cut leads to no refusal."""
    limit = MAX_ENTRIES
    bounded = _cut(summary, limit)
    while len(encode_load(bounded)) > MAX_SUMMARY_BYTES and limit:
        limit //= 2
        bounded = _cut(summary, limit)
    return bounded


def _cut(summary: LoadSummary, limit: int) -> LoadSummary:
    def cut(entries: dict[str, V]) -> dict[str, V]:
        return dict(islice(entries.items(), limit))

    queues = {
        name: QueueLoad(
            each.pool,
            each.waiting,
            each.started,
            each.wait,
            each.fresh_wait,
            each.run_seconds,
            cut(each.jobs),
            cut(each.least),
        )
        for name, each in cut(summary.queues).items()
    }
    pools = {
        name: PoolLoad(each.accelerators, each.started, cut(each.workers))
        for name, each in cut(summary.pools).items()
    }
    return LoadSummary(
        summary.fence,
        summary.revision,
        summary.age,
        queues,
        pools,
        cut(summary.urgent),
    )
