"""Runs one term of ownership, from recovery to its end.

A new owner loads the accepted jobs and their progress, shows its fence to every worker,
and continues the running tasks. Nothing waits for the slowest worker: only a task whose
last run may be on a worker that has not answered yet waits for that worker.
"""

import asyncio

import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.advisor import Advisor
from primrosestile.coordination.work.ended_jobs import EndedJobs
from primrosestile.coordination.work.health_monitor import HealthMonitor
from primrosestile.coordination.work.lease_bounds import LeaseBounds
from primrosestile.coordination.work.lease_extender import LeaseExtender
from primrosestile.coordination.work.load_publisher import LoadPublisher
from primrosestile.coordination.work.log_fields import name_unit
from primrosestile.coordination.work.maintenance import MaintenanceRunner
from primrosestile.coordination.work.metered_calls import MeteredCalls
from primrosestile.coordination.work.orders import Orders
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.coordination.work.recorder import OwnershipLost, Recorder
from primrosestile.coordination.work.request_watch import RequestWatch
from primrosestile.coordination.work.run_outcomes import RunOutcomes
from primrosestile.coordination.work.run_statistics import StatisticsStore
from primrosestile.coordination.work.scheduler_log import (
    log_crashes,
    log_gone,
    log_headroom,
    log_over_shares,
    log_restart,
    log_speed_changes,
    log_stop,
    log_workers_answered,
    log_workers_found,
)
from primrosestile.coordination.work.silent_workers import SilentWorkers
from primrosestile.coordination.work.term import Term
from primrosestile.coordination.work.waiting_keys import reconcile_waiting_keys
from primrosestile.coordination.work.worker_discovery import WorkerDiscovery
from primrosestile.coordination.work.worker_links import WorkerLink
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.evacuation import find_evacuations
from primrosestile.decisions.work.fleet_counts import count_fleet
from primrosestile.decisions.work.fleet_state import FleetState
from primrosestile.decisions.work.paces import find_paces
from primrosestile.decisions.work.plan import make_plan
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.units import Job
from primrosestile.errors import Failure
from primrosestile.protocol.advice import AdviceCalls
from primrosestile.protocol.fleet import WorkerCalls, WorkerList
from primrosestile.protocol.maintenance import MaintenanceCalls
from primrosestile.protocol.owners import OwnerCalls
from primrosestile.protocol.transactions import TransactionalStore
from primrosestile.state.scheduling import DEFAULT_SETTINGS, SchedulingSettings
from primrosestile.state.workers import WorkerEntry

# The longest time without a pass: some changes, such as the end of a locality wait,
# come without an event.
MAX_PASS_INTERVAL_SECONDS = 0.25
# Events within this time, such as the ends of a gang, share one pass.
BATCH_SECONDS = 0.004
# The pause between passes as a multiple of the last one's duration, so that most of a
# small VM's processor is left for workers' leases and callers: with a hundred workers
# and more, a pass at each event would take all of it.
PASS_PAUSE_FACTOR = 3.0
MAX_PAUSE_SECONDS = 0.2
CLEANUP_INTERVAL_SECONDS = 10.0
# From the start of the first links until the log names the workers without an answer.
FIRST_CONTACT_SECONDS = 1.0
RETRY_SECONDS = 0.2

_log = structlog.get_logger()


class Scheduler:
    """Schedules the fleet for as long as a term lasts.

    Attributes:
        load: Makes the summary of the fleet's load.
    """

    def __init__(
        self,
        store: TransactionalStore,
        calls: WorkerCalls,
        workers: WorkerList,
        policies: PolicyWatch,
        term: Term,
        status_retention_seconds: float,
        max_lease_seconds: float,
        advice: AdviceCalls,
        maintenance: MaintenanceCalls,
        owners: OwnerCalls,
        address: str = "",
        settings: SchedulingSettings = DEFAULT_SETTINGS,
    ) -> None:
        self._store = store
        self._calls = MeteredCalls(calls)
        self._policies = policies
        self._term = term
        self._max_lease_seconds = max_lease_seconds
        policy = policies.policy
        assert policy is not None, "a term begins after the first policy is read"
        self._fleet_state = FleetState(policy, read_wall_clock(), settings)
        self._durations = Durations()
        self._speeds = Speeds()
        self._outcomes = RunOutcomes(self._fleet_state, self._durations, self._speeds)
        self._statistics = StatisticsStore(
            store, term, self._durations, self._speeds, self._fleet_state.shares
        )
        self._ended = EndedJobs(store, term, status_retention_seconds)
        self._recorder = Recorder(store, term, self._fleet_state, self._ended)
        self._pass_wanted = asyncio.Event()
        self._links: dict[str, WorkerLink] = {}
        # Set once the first links are started; workers that come later add theirs.
        self._tasks: asyncio.TaskGroup | None = None
        self._requests = RequestWatch(
            store, self._fleet_state, self._recorder, self._ended, self._wake
        )
        self._discovery = WorkerDiscovery(
            workers, self._fleet_state, self._add_worker, self._wake
        )
        self._maintenance = MaintenanceRunner(
            maintenance, store, term, self._fleet_state, self._wake
        )
        self._advisor = Advisor(
            advice, self._fleet_state, self._durations, term, self._wake
        )
        self._bounds = LeaseBounds(
            store, term, owners, address, lambda: self._silent.find_bounds()
        )
        self._lease_extender = LeaseExtender(
            self._calls, workers, term, max_lease_seconds, self._bounds
        )
        self._silent = SilentWorkers(
            self._fleet_state, self._links, self._bounds, self._lease_extender
        )
        self._health = HealthMonitor(
            store,
            term,
            self._fleet_state,
            policies,
            self._requests,
            self._recorder,
            self._links,
            self._calls,
            self._discovery.freshness,
        )
        self.load = LoadPublisher(self._fleet_state, self._durations, term)
        self._pass_seconds = 0.0
        # Runs stopped for others in this term.
        self._preemptions = 0

    @property
    def fleet_state(self) -> FleetState:
        """The fleet state that this owner knows."""
        return self._fleet_state

    def count(self) -> dict[str, float]:
        """Return the current values of the metrics."""
        return {
            **count_fleet(self._fleet_state),
            "slow_workers": len(self._speeds.slow_group),
            "organisations_over_share": len(self._fleet_state.shares.over),
            **self._health.count(),
            "preemptions": float(self._preemptions),
            "silent_workers": float(len(self._bounds)),
        }

    def _wake(self) -> None:
        self._pass_wanted.set()

    async def run(self) -> None:
        """Recover, then schedule until the term is lost or this is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            # From the start: a VM that can't even load the state must not keep the
            # ownership.
            tasks.create_task(self._health.run())
            tasks.create_task(self._health.follow_resignations())
            extending = tasks.create_task(self._lease_extender.run())
            await self._load()
            extending.cancel()
            self._health.loaded = True
            log_workers_found(self._fleet_state.workers.values())
            self._tasks = tasks
            orders = Orders(
                self._calls,
                self._term,
                self._fleet_state,
                self._recorder,
                self._links,
                tasks,
                self._wake,
                self._discovery,
            )
            for worker in self._fleet_state.workers.values():
                self._start_link(worker.name, tasks)
            tasks.create_task(self._recorder.run())
            tasks.create_task(self._requests.run())
            tasks.create_task(self._discovery.run())
            tasks.create_task(self._advisor.run())
            tasks.create_task(self._maintenance.run())
            tasks.create_task(self._bounds.run())
            tasks.create_task(self._clean_up())
            tasks.create_task(self._report_contact())
            tasks.create_task(
                reconcile_waiting_keys(self._store, self._term, self._fleet_state)
            )
            await self._run_passes(tasks, orders)
            raise _TermOver

    async def _load(self) -> None:
        """Load all that the first pass needs; repeat this until it succeeds."""
        loaded = await self._try_to_load()
        while not loaded:
            await asyncio.sleep(RETRY_SECONDS)
            loaded = await self._try_to_load()
        self._fleet_state.wall = read_wall_clock()

    async def _try_to_load(self) -> bool:
        """Load once; return False if the store did not answer."""
        loaded = True
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._bounds.load())
                tasks.create_task(self._load_state())
        except* Failure as failures:
            loaded = False
            _log.warning("recovery_delayed", reason=str(failures.exceptions[0]))
        return loaded

    async def _load_state(self) -> None:
        await self._statistics.load()
        await self._requests.load()
        await self._discovery.refresh()
        self._add_unlisted()

    def _add_unlisted(self) -> None:
        """Add workers that only records name: they are polled but get no work."""
        for entry in self._fleet_state.list_unlisted_workers():
            self._add_worker(entry)
            self._fleet_state.workers[entry.worker].listed = False

    def _add_worker(self, entry: WorkerEntry) -> None:
        self._fleet_state.crashes.record_entry(
            entry.address, entry.worker, read_clock()
        )
        self._fleet_state.add_worker(entry)
        if self._tasks is None:
            return
        _log.info(
            "worker_found",
            worker=entry.worker,
            pool=entry.pool,
            rack=entry.rack,
            leaving=entry.leaving,
        )
        self._start_link(entry.worker, self._tasks)

    def _start_link(self, name: str, tasks: asyncio.TaskGroup) -> None:
        link = WorkerLink(
            self._fleet_state.workers[name],
            self._calls,
            self._term,
            self._fleet_state,
            self._recorder,
            self._wake,
            self._outcomes.record_end,
            self._max_lease_seconds,
            self._add_worker,
            self._bounds,
        )
        self._links[name] = link
        tasks.create_task(self._run_link(name, link))

    async def _run_link(self, name: str, link: WorkerLink) -> None:
        try:
            await link.run()
        finally:
            # These log lines include the fields of the link, so they come first.
            self._log_gone()
            # A dropped worker may be back under its name by now; dropping its new link
            # too would leave its runs without orders permanently.
            if self._links.get(name) is link:
                del self._links[name]

    async def _run_passes(self, tasks: asyncio.TaskGroup, orders: Orders) -> None:
        while not self._term.lost.is_set():
            await self._wait()
            self._fleet_state.wall = read_wall_clock()
            policy = self._policies.policy
            if policy is not None and policy is not self._fleet_state.policy:
                self._fleet_state.apply_policy(policy)
            self._open_due()
            self._silent.drop_never_answered()
            self._log_gone()
            if self._term.may_act():
                began = read_clock()
                self._run_pass(orders)
                self._pass_seconds = read_clock() - began
            self._recorder.request_round()
            if self._statistics.due:
                tasks.create_task(self._statistics.save())

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(MAX_PASS_INTERVAL_SECONDS):
                await self._pass_wanted.wait()
        except TimeoutError:
            return
        pause = min(MAX_PAUSE_SECONDS, PASS_PAUSE_FACTOR * self._pass_seconds)
        await asyncio.sleep(max(BATCH_SECONDS, pause))
        self._pass_wanted.clear()

    def _run_pass(self, orders: Orders) -> None:
        now = read_clock()
        for unit in find_evacuations(self._fleet_state, self._durations, now):
            self._fleet_state.abandon(unit)
            _log.info("run_evacuated", **name_unit(unit))
        if self._may_decide():
            over = self._fleet_state.shares.over
            headroom = self._fleet_state.headroom.pools
            plan = make_plan(
                self._fleet_state, self._durations, self._speeds, read_clock()
            )
            self._preemptions += len(plan.stops)
            log_speed_changes(self._speeds.pop_changes())
            log_headroom(headroom, self._fleet_state.headroom.pools)
            log_over_shares(over, self._fleet_state.shares.over)
            for stop in plan.stops:
                log_stop(stop)
            for restart in plan.restarts:
                log_restart(restart)
                # A worker that leaves gets no new work anyway.
                if not restart.worker.entry.leaving:
                    self._outcomes.record_stall(restart.worker, now)
            self.load.record_pass(start.unit for start in plan.starts)
            orders.start(plan.starts)
        orders.pace(find_paces(self._fleet_state, now))
        orders.stop_abandoned()

    def _may_decide(self) -> bool:
        """Whether the inputs of a decision are recent, and it can be recorded.

        With old inputs, a job might start after its caller was told that it is
        cancelled. And a run that is stopped for a start that can't be recorded loses
        its work for nothing.
        """
        recent = (
            self._discovery.freshness.usable
            and self._policies.recent
            and self._requests.recent
        )
        return recent and self._recorder.writable and not self._term.doubtful

    def _open_due(self) -> None:
        """Open the occurrences of repeating jobs that are due."""
        for job in self._fleet_state.jobs.values():
            if job.state.final:
                continue
            while job.occurrences < job.occurrence_count and self._is_due(job):
                self._fleet_state.open_occurrence(job, job.occurrences)

    def _is_due(self, job: Job) -> bool:
        repeats = job.submission.repeats
        if not repeats.count:
            return True
        due = repeats.first_at + job.occurrences * repeats.interval
        return self._fleet_state.wall >= due

    def _log_gone(self) -> None:
        log_gone(self._fleet_state.pop_gone(), self._links, self._term.fence)
        log_crashes(self._fleet_state.crashes.pop_found())

    async def _report_contact(self) -> None:
        await asyncio.sleep(FIRST_CONTACT_SECONDS)
        log_workers_answered(self._fleet_state.workers.values())

    async def _clean_up(self) -> None:
        """Remove from the store what is neither open nor may be asked for."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_SECONDS)
            self._recorder.request_last_records()
            await self._ended.clean()


class _TermOver(Exception):
    """Ends the tasks of a term normally."""


async def run_scheduler(scheduler: Scheduler) -> None:
    """Run a scheduler until its term ends."""
    try:
        await scheduler.run()
    except* (_TermOver, OwnershipLost):
        _log.info("scheduling_ended")
