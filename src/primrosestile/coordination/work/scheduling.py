"""One term of ownership, from recovery to its end.

A new owner reads what was accepted and how far it got, shows its fence to every
worker, and goes on with what runs. Nothing waits for the slowest worker: a task
whose last run may be on a worker that has not answered yet waits for that worker
alone.
"""

import asyncio

import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.work.advising import Advisor
from primrosestile.coordination.work.caring import Caretaker
from primrosestile.coordination.work.ended import EndedJobs
from primrosestile.coordination.work.intake import Intake
from primrosestile.coordination.work.learned import Memory
from primrosestile.coordination.work.links import CARE_SECONDS, WorkerLink
from primrosestile.coordination.work.logfields import name_unit
from primrosestile.coordination.work.metering import MeteredCalls
from primrosestile.coordination.work.orders import Orders
from primrosestile.coordination.work.ownwatch import OwnWatch
from primrosestile.coordination.work.passlog import (
    log_crashes,
    log_gone,
    log_rescue,
    log_stop,
    log_workers_answered,
    log_workers_found,
)
from primrosestile.coordination.work.policywatch import PolicyWatch
from primrosestile.coordination.work.recording import OwnershipLost, Recorder
from primrosestile.coordination.work.roster import Roster
from primrosestile.coordination.work.term import Term
from primrosestile.coordination.work.upkeep import UpkeepDuty
from primrosestile.coordination.work.waitingkeys import settle_waiting
from primrosestile.coordination.work.workerclock import (
    LEASE_SECONDS,
    SLOW_CLOCK_FACTOR,
)
from primrosestile.decisions.work.board import Board
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.evacuating import find_evacuations
from primrosestile.decisions.work.pacing import find_paces
from primrosestile.decisions.work.planning import make_plan
from primrosestile.decisions.work.speeds import Speeds
from primrosestile.decisions.work.trust import AT_ONCE_SECONDS, Trust
from primrosestile.decisions.work.units import Job, Member, Proof, Worker
from primrosestile.errors import Failure
from primrosestile.protocol.advice import AdviceCalls
from primrosestile.protocol.fleet import WorkerCalls, WorkerList
from primrosestile.protocol.transactions import TransactionalStore
from primrosestile.protocol.upkeep import UpkeepCalls
from primrosestile.state.workers import EndKind, WorkerEntry

# A pass without an event: for what only time brings, such as patience that ends.
TICK_SECONDS = 0.25
# Events of one moment, such as the ends of a gang, make one pass.
GATHER_SECONDS = 0.004
# Between passes, as a multiple of what the last one took, so that passes leave most of
# a small VM's processor to workers' leases and to callers: with a hundred workers and
# more, a pass at each event would take all of it.
PASS_PAUSE_FACTOR = 3.0
LONGEST_PAUSE_SECONDS = 0.2
# How long a worker that never answered this owner may still run what an earlier
# one gave it: the earlier one's care after its own lease, then the worker's.
BLIND_SECONDS = CARE_SECONDS + LEASE_SECONDS / SLOW_CLOCK_FACTOR + 1.0
CLEAN_SECONDS = 10.0
# After the first links have begun, until the log tells which workers are silent.
CONTACT_SECONDS = 1.0
RETRY_SECONDS = 0.2

_log = structlog.get_logger()


class Scheduler:
    """Schedules the fleet for as long as a term lasts."""

    def __init__(
        self,
        store: TransactionalStore,
        calls: WorkerCalls,
        workers: WorkerList,
        policies: PolicyWatch,
        term: Term,
        status_kept: float,
        lease_longest: float,
        advice: AdviceCalls,
        upkeep: UpkeepCalls,
    ) -> None:
        self._store = store
        self._calls = MeteredCalls(calls)
        self._policies = policies
        self._term = term
        self._lease_longest = lease_longest
        policy = policies.policy
        assert policy is not None, "a term begins after the first policy is read"
        self._board = Board(policy, read_wall_clock())
        self._trust = Trust()
        self._durations = Durations()
        self._speeds = Speeds()
        self._memory = Memory(store, term, self._durations, self._speeds)
        self._ended = EndedJobs(store, term, status_kept)
        self._recorder = Recorder(store, term, self._board, self._ended)
        self._wanted = asyncio.Event()
        self._links: dict[str, WorkerLink] = {}
        # Set once the first links are started; workers that come later add theirs.
        self._tasks: asyncio.TaskGroup | None = None
        self._intake = Intake(
            store, self._board, self._recorder, self._ended, self._wake
        )
        self._roster = Roster(workers, self._board, self._add_worker, self._wake)
        self._upkeep = UpkeepDuty(upkeep, store, term, self._board, self._wake)
        self._advisor = Advisor(advice, self._board, self._durations, term, self._wake)
        self._caretaker = Caretaker(self._calls, workers, term, lease_longest)
        self._watch = OwnWatch(
            store,
            term,
            self._board,
            self._intake,
            self._recorder,
            self._links,
            self._calls,
        )
        self._began = read_clock()
        self._pass_seconds = 0.0

    @property
    def board(self) -> Board:
        """What this owner knows."""
        return self._board

    def count(self) -> dict[str, float]:
        """Return figures of the moment, for those who watch over the fleet."""
        return {**self._board.count(), **self._watch.count()}

    def _wake(self) -> None:
        self._wanted.set()

    async def run(self) -> None:
        """Recover, then schedule until the term is lost or this is cancelled."""
        async with asyncio.TaskGroup() as tasks:
            # From the beginning: a VM that can't even read what there is must not
            # keep the ownership by that.
            tasks.create_task(self._watch.run())
            tasks.create_task(self._watch.follow_record())
            caring = tasks.create_task(self._caretaker.run())
            await self._load()
            caring.cancel()
            self._watch.loaded = True
            log_workers_found(self._board.workers.values())
            self._tasks = tasks
            orders = Orders(
                self._calls,
                self._term,
                self._board,
                self._recorder,
                self._links,
                tasks,
                self._wake,
                lambda: self._roster.recent,
            )
            for worker in self._board.workers.values():
                self._start_link(worker.name, tasks)
            tasks.create_task(self._recorder.run())
            tasks.create_task(self._intake.run())
            tasks.create_task(self._roster.run())
            tasks.create_task(self._advisor.run())
            tasks.create_task(self._upkeep.run())
            tasks.create_task(self._clean_up())
            tasks.create_task(self._report_contact())
            tasks.create_task(settle_waiting(self._store, self._term, self._board))
            await self._run_passes(tasks, orders)
            raise _TermOver

    async def _load(self) -> None:
        """Read everything that a first pass needs, however long the store takes."""
        while True:
            try:
                await self._memory.load()
                await self._intake.load()
                await self._roster.refresh()
                self._add_astray()
            except Failure as failure:
                _log.warning("recovery_delayed", reason=str(failure))
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self._board.wall = read_wall_clock()
            return

    def _add_astray(self) -> None:
        """Add the workers that only records name, to be asked but given nothing."""
        for entry in self._board.list_astray():
            self._add_worker(entry)
            self._board.workers[entry.worker].listed = False

    def _add_worker(self, entry: WorkerEntry) -> None:
        self._board.crashes.record_entry(entry.address, entry.worker, read_clock())
        self._board.add_worker(entry)
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
            self._board.workers[name],
            self._calls,
            self._term,
            self._board,
            self._recorder,
            self._wake,
            self._note_end,
            self._lease_longest,
        )
        self._links[name] = link
        tasks.create_task(self._run_link(name, link))

    async def _run_link(self, name: str, link: WorkerLink) -> None:
        try:
            await link.run()
        finally:
            # What the link knew of its worker belongs into the lines.
            self._log_gone()
            # A worker that was given up may be back under its name by now; to drop
            # its new link would leave what runs there without orders for good.
            if self._links.get(name) is link:
                del self._links[name]

    def _note_end(self, member: Member, kind: EndKind) -> None:
        """Learn from an end which workers to trust."""
        if kind is EndKind.DONE:
            self._trust.note_done(member.worker)
            self._learn(member)
        if kind is not EndKind.FAILED:
            return
        worker = self._board.workers.get(member.worker)
        seconds = read_clock() - (member.up_at or member.since)
        # What lasts may fail at any time; only at its start that tells of its worker.
        expected = member.unit.step.lasting and seconds > AT_ONCE_SECONDS
        if worker is None or expected:
            return
        until = self._trust.note_failed(
            member.worker,
            member.unit.job.job_id,
            seconds,
            read_clock(),
            len(self._board.workers),
        )
        if until > worker.distrusted_until:
            worker.distrusted_until = until
            _log.warning("worker_distrusted", worker=worker.name)

    def _learn(self, member: Member) -> None:
        unit = member.unit
        self._speeds.note_done(member, read_clock())
        if not member.up_at or member.restored or member.resumed:
            return
        self._durations.learn(
            unit.job.submission.queue,
            unit.step.estimate_seconds,
            read_clock() - member.up_at,
        )

    async def _run_passes(self, tasks: asyncio.TaskGroup, orders: Orders) -> None:
        while not self._term.lost.is_set():
            await self._wait()
            self._board.wall = read_wall_clock()
            policy = self._policies.policy
            if policy is not None and policy is not self._board.policy:
                self._board.take_policy(policy)
            self._open_due()
            self._give_up_blind()
            self._log_gone()
            if self._term.may_act():
                began = read_clock()
                self._run_pass(orders)
                self._pass_seconds = read_clock() - began
            self._recorder.ask()
            if self._memory.due:
                tasks.create_task(self._memory.save())

    async def _wait(self) -> None:
        try:
            async with asyncio.timeout(TICK_SECONDS):
                await self._wanted.wait()
        except TimeoutError:
            return
        pause = min(LONGEST_PAUSE_SECONDS, PASS_PAUSE_FACTOR * self._pass_seconds)
        await asyncio.sleep(max(GATHER_SECONDS, pause))
        self._wanted.clear()

    def _run_pass(self, orders: Orders) -> None:
        now = read_clock()
        for unit in find_evacuations(self._board, self._durations, now):
            self._board.abandon(unit)
            _log.info("run_evacuated", **name_unit(unit))
        if self._may_decide():
            plan = make_plan(self._board, self._durations, self._speeds, read_clock())
            for stop in plan.stops:
                log_stop(stop)
            for rescue in plan.rescues:
                log_rescue(rescue)
                self._leave_out(rescue.worker, now)
            orders.start(plan.starts)
        orders.pace(find_paces(self._board, now))
        orders.stop_abandoned()

    def _may_decide(self) -> bool:
        """Whether all that a decision rests on is recent, and can be recorded.

        A job may have been cancelled unheard: a caller was told so, and what starts
        all the same is seen as work that nobody asked for. What is stopped for a start
        that can't be recorded is thrown away.
        """
        recent = self._roster.recent and self._policies.recent and self._intake.recent
        return recent and self._recorder.writable and not self._term.doubtful

    def _leave_out(self, worker: Worker, now: float) -> None:
        """Give a worker on which a task stands still no work for a while."""
        until = self._trust.note_still(worker.name, now, len(self._board.workers))
        worker.distrusted_until = max(worker.distrusted_until, until)

    def _open_due(self) -> None:
        """Open the occurrences whose time has come."""
        for job in self._board.jobs.values():
            if job.state.final:
                continue
            while job.occurrences < job.occurrence_count and self._is_due(job):
                self._board.open_occurrence(job, job.occurrences)

    def _is_due(self, job: Job) -> bool:
        repeats = job.submission.repeats
        if not repeats.count:
            return True
        due = repeats.first_at + job.occurrences * repeats.interval
        return self._board.wall >= due

    def _give_up_blind(self) -> None:
        """Give up runs on workers that have never answered this owner."""
        if read_clock() - self._began < BLIND_SECONDS:
            return
        for name in list(self._board.astray):
            _log.warning("runs_given_up", worker=name)
            self._board.drop_worker(name, Proof.UNHEARD)
        for name, link in self._links.items():
            if not link.clock.known and link.worker.members:
                _log.warning("runs_given_up", worker=name)
                self._board.clear_worker(link.worker, Proof.UNHEARD, read_clock())

    def _log_gone(self) -> None:
        log_gone(self._board.take_gone(), self._links, self._term.fence)
        log_crashes(self._board.crashes.pop_found())

    async def _report_contact(self) -> None:
        await asyncio.sleep(CONTACT_SECONDS)
        log_workers_answered(self._board.workers.values())

    async def _clean_up(self) -> None:
        """Keep what stands in the store to what is open or may be asked for."""
        while True:
            await asyncio.sleep(CLEAN_SECONDS)
            self._recorder.ask_for_over()
            await self._ended.clean()


class _TermOver(Exception):
    """Ends the tasks of a term; not a fault."""


async def run_scheduler(scheduler: Scheduler) -> None:
    """Run a scheduler to the end of its term."""
    try:
        await scheduler.run()
    except* (_TermOver, OwnershipLost):
        _log.info("scheduling_ended")
