"""Actions on one gang job: start, evict, restart after a loss, end.

Every action marks its job as busy while it runs, so that no two actions work on one
job, and each write compares the revision that the decision was based on. When the store
is down nothing is written; the worker's next report shows the same facts, and the
action is repeated.
"""

import asyncio
from collections.abc import Coroutine, Sequence
from dataclasses import replace

import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.cell_data import (
    CellData,
    make_class_key,
    make_holding,
)
from primrosestile.coordination.gangs import (
    Stage,
    StartOutcome,
    checkpoint_gang,
    make_task_id,
    start_gang,
    stop_gang,
)
from primrosestile.errors import Failure
from primrosestile.protocol.workers import TaskPhase
from primrosestile.state.jobs import (
    JobRecord,
    JobState,
    Member,
    Reason,
    ReasonCode,
)

# Backoff after a failed start, doubled each time, so that one bad worker or job can't
# keep the owner and the workers busy.
START_RETRY_SECONDS = 0.5
START_RETRY_LIMIT_SECONDS = 30.0
# After this many failures on workers where other jobs succeed, the job itself is
# considered faulty.
FAILURE_LIMIT = 3
# After this many failures a job ends as failed, on whatever workers they happened. If
# every attempt is placed on the same worker, a faulty job can't be told from a faulty
# worker, and endless retries cost licensed accelerators and help nobody.
TOTAL_FAILURE_LIMIT = 6
# A job that crashes its workers' engines is never reported as failed: a member is lost
# each time. It ends as failed after this many losses, each within EARLY_LOSS_SECONDS of
# a start.
LOSS_LIMIT = 6
EARLY_LOSS_SECONDS = 60.0

_log = structlog.get_logger()


def make_reason(code: ReasonCode, detail: str = "") -> Reason:
    """Return a reason with the present time of day."""
    return Reason(code, read_wall_clock(), detail)


class JobActions:
    """Actions on the jobs of one owned cell."""

    def __init__(self, data: CellData) -> None:
        self._data = data
        self._start_failures: dict[str, int] = {}
        self._tried: dict[str, int] = {}

    async def start(
        self, record: JobRecord, members: tuple[Member, ...], reason: Reason
    ) -> None:
        """Start a placed job; its accelerators are held in the view already."""
        job_id = record.spec.job_id
        started = replace(
            record,
            state=JobState.STARTED,
            attempt=self._next_attempt(record),
            epoch=self._data.command.epoch,
            members=members,
            started_at=read_wall_clock(),
        ).with_reason(reason)
        for member in members:
            self._data.contacts[member.worker].renewed_at = read_clock()

        async def write() -> bool:
            return await self._data.job_table.write(started, record)

        outcome = await start_gang(self._data.command, started, write)
        if outcome.started:
            self._start_failures.pop(job_id, None)
            self._data.started_at[job_id] = read_clock()
            _log.info("gang_started", job_id=job_id, epoch=started.epoch)
        elif outcome.stage is Stage.GO:
            await self._lose(started, outcome.workers, ReasonCode.GO_FAILED)
        else:
            await self._put_back(record, outcome)

    def _next_attempt(self, record: JobRecord) -> int:
        """Return a number that no earlier attempt has used.

        A worker that has stopped a task refuses its id from then on. A start that
        failed before its record was written has used its number on every worker that it
        reached, and an earlier owner's attempts show only in the workers' reports.
        """
        job_id = record.spec.job_id
        seen = [
            task.attempt
            for contact in self._data.contacts.values()
            if contact.report is not None
            for task in contact.report.tasks
            if task.job_id == job_id
        ]
        attempt = max(record.attempt, self._tried.get(job_id, 0), *seen, 0) + 1
        self._tried[job_id] = attempt
        return attempt

    async def _put_back(self, record: JobRecord, outcome: StartOutcome) -> None:
        """Release what an unrecorded start held, and retry later."""
        job_id = record.spec.job_id
        self._data.view.release(job_id)
        failures = self._start_failures.get(job_id, 0) + 1
        self._start_failures[job_id] = failures
        delay = min(START_RETRY_LIMIT_SECONDS, START_RETRY_SECONDS * 2**failures)
        self._data.retry_at[job_id] = read_clock() + delay
        kind = outcome.kind.value if outcome.kind else ""
        _log.warning(
            "gang_start_failed",
            job_id=job_id,
            stage=outcome.stage.value,
            kind=kind,
            workers=list(outcome.workers),
        )
        code = ReasonCode.PREPARE_FAILED
        if outcome.stage is Stage.RESERVE:
            code = ReasonCode.RESERVE_FAILED
        detail = f"{', '.join(outcome.workers) or 'the store'}: {kind}"
        self._data.waiting_reasons[job_id] = make_reason(code, detail)
        for worker in outcome.workers:
            # Not usable until it has answered once more.
            self._data.contacts[worker].reachable = False
        self._data.refresh_usable()
        if outcome.stage is Stage.RECORD:
            # The write may have succeeded although its answer was lost. The members
            # were not told to go, so the record must not show the job as started.
            await self._settle_unstarted(record)

    async def _settle_unstarted(self, record: JobRecord) -> None:
        job_id = record.spec.job_id
        while True:
            try:
                current = await self._data.job_table.refresh(job_id)
                if current is None or current.attempt == record.attempt:
                    return
                if current.epoch != self._data.command.epoch:
                    return
                again = replace(current, state=JobState.ACCEPTED, members=())
                if await self._data.job_table.write(again, current):
                    return
            except Failure as failure:
                _log.info("unstarted_unsettled", job_id=job_id, kind=failure.kind.value)
            await asyncio.sleep(START_RETRY_SECONDS)

    async def _stop(self, record: JobRecord) -> list[str]:
        """Stop an attempt and the renewal of its leases."""
        self._data.stopping.add(record.spec.job_id)
        return await stop_gang(self._data.command, record)

    async def evict(self, record: JobRecord, code: ReasonCode, detail: str) -> bool:
        """Checkpoint and stop a job so that it can run again; True when done.

        Its accelerators are free afterwards, and it waits again with its checkpoint.
        """
        if not record.spec.restartable:
            return False
        saved = record.checkpoint
        if record.spec.checkpoints:
            saved = await checkpoint_gang(self._data.command, record)
        unconfirmed = await self._stop(record)
        await self._wait_for_lapse(unconfirmed)
        if await self._has_finished(record):
            await self.finish(record)
            return True
        waiting = replace(
            record, state=JobState.ACCEPTED, checkpoint=saved, members=()
        ).with_reason(make_reason(code, detail))
        return await self._write_and_release(waiting, record)

    async def evict_all(
        self, records: Sequence[JobRecord], code: ReasonCode, detail: str
    ) -> None:
        """Evict several jobs at once; they must be marked as busy already."""

        async def evict(record: JobRecord) -> None:
            try:
                await self.evict(record, code, detail)
            except Failure as failure:
                _log.warning(
                    "eviction_failed",
                    job_id=record.spec.job_id,
                    kind=failure.kind.value,
                )
            finally:
                self._data.busy.discard(record.spec.job_id)
                self._data.stopping.discard(record.spec.job_id)

        async with asyncio.TaskGroup() as group:
            for record in records:
                group.create_task(evict(record))

    async def _has_finished(self, record: JobRecord) -> bool:
        """Whether every member had finished before it was told to stop.

        A job may finish between the report that the eviction was based on and the order
        to stop. Back in the queue it would run a second time, so the workers are asked
        first.
        """
        command = self._data.command
        task_id = make_task_id(record.spec.job_id, record.attempt)
        for member in record.members:
            try:
                report = await command.workers.report(
                    member.worker, command.cell, command.epoch
                )
            except Failure:
                return False
            phases = [task.phase for task in report.tasks if task.task_id == task_id]
            if phases != [TaskPhase.FINISHED]:
                return False
        return True

    async def _write_and_release(self, record: JobRecord, base: JobRecord) -> bool:
        written = await self._data.job_table.write(record, base)
        if written:
            self._data.view.release(record.spec.job_id)
            self._data.wake()
        return written

    async def _wait_for_lapse(self, unconfirmed: list[str]) -> None:
        """Wait until the leases of tasks whose stop was not confirmed have lapsed.

        RESTART_AFTER_LAPSE: a job restarted while a member of its earlier attempt still
        runs would run in two places, the earlier attempt in part.
        """
        if unconfirmed:
            lapse = self._data.find_lapse_time(unconfirmed)
            await asyncio.sleep(max(0.0, lapse - read_clock()))

    async def lose(self, record: JobRecord, missing: tuple[str, ...]) -> None:
        """Handle lost members: stop the rest, then restart the job or end it."""
        await self._lose(record, missing, ReasonCode.MEMBER_LOST)

    async def _lose(
        self, record: JobRecord, workers: tuple[str, ...], code: ReasonCode
    ) -> None:
        unconfirmed = await self._stop(record)
        await self._wait_for_lapse(unconfirmed)
        if await self._has_finished(record):
            await self.finish(record)
            return
        detail = f"on {', '.join(workers)}"
        lasted = read_wall_clock() - record.started_at
        losses = record.losses + (lasted < EARLY_LOSS_SECONDS)
        if record.spec.restartable and losses >= LOSS_LIMIT:
            _log.warning("job_given_up", job_id=record.spec.job_id, losses=losses)
            code = ReasonCode.LOST_EVERYWHERE
            await self.end(record, JobState.FAILED, code, f"lost {losses} times")
            return
        if record.spec.restartable:
            waiting = replace(
                record, state=JobState.ACCEPTED, members=(), losses=losses
            ).with_reason(make_reason(code, detail))
            await self._write_and_release(waiting, record)
            return
        # RESTART_ONLY_IF_ALLOWED: it may have run, so it is not restarted.
        await self.end(record, JobState.UNKNOWN, code, detail)

    async def end(
        self,
        record: JobRecord,
        state: JobState,
        code: ReasonCode,
        detail: str = "",
        failures: int = 0,
    ) -> None:
        """Write a job's end and free its accelerators."""
        ended = replace(
            record,
            state=state,
            finished_at=read_wall_clock(),
            failures=max(failures, record.failures),
        ).with_reason(make_reason(code, detail))
        if not await self._write_and_release(ended, record):
            return
        job_id = record.spec.job_id
        self._data.waiting_reasons.pop(job_id, None)
        self._data.retry_at.pop(job_id, None)
        self._data.started_at.pop(job_id, None)
        self._tried.pop(job_id, None)
        _log.info("job_ended", job_id=job_id, state=state.value, reason=code.value)

    async def finish(self, record: JobRecord) -> None:
        """End a job whose members have all finished, and record its run time."""
        seconds = read_wall_clock() - record.started_at + record.checkpoint
        self._data.run_times.record(make_class_key(record), seconds)
        for member in record.members:
            self._data.failures.record(
                member.worker, record.spec.job_id, False, read_wall_clock()
            )
        await self.end(record, JobState.FINISHED, ReasonCode.FINISHED)

    async def fail(self, record: JobRecord, workers: tuple[str, ...]) -> None:
        """Handle failed members: stop the rest, then restart the job or end it."""
        now = read_wall_clock()
        for worker in workers:
            self._data.failures.record(worker, record.spec.job_id, True, now)
        unconfirmed = await self._stop(record)
        await self._wait_for_lapse(unconfirmed)
        failures = record.failures + 1
        detail = f"failed on {', '.join(workers)}"
        given_up = failures >= TOTAL_FAILURE_LIMIT or (
            failures >= FAILURE_LIMIT
            and self._data.failures.is_bad_job(record.spec.job_id)
        )
        if given_up or not record.spec.restartable:
            code = ReasonCode.FAILED_EVERYWHERE
            await self.end(record, JobState.FAILED, code, detail, failures)
            return
        waiting = replace(
            record, state=JobState.ACCEPTED, members=(), failures=failures
        ).with_reason(make_reason(ReasonCode.RESTARTED, detail))
        self._data.retry_at[record.spec.job_id] = read_clock() + START_RETRY_SECONDS
        await self._write_and_release(waiting, record)

    async def cancel(self, record: JobRecord) -> None:
        """End a job whose cancellation was requested."""
        if record.state is JobState.STARTED:
            unconfirmed = await self._stop(record)
            await self._wait_for_lapse(unconfirmed)
        await self.end(record, JobState.CANCELLED, ReasonCode.CANCELLED_BY_CALLER)

    def adopt_all(self, records: Sequence[JobRecord]) -> None:
        """Hold the accelerators of jobs that an earlier owner started."""
        run_times = self._data.run_times
        self._data.view.hold_all(
            make_holding(each, each.members, each.started_at, run_times)
            for each in records
        )
        now = read_clock()
        for record in records:
            self._data.started_at[record.spec.job_id] = now

    def spawn(
        self,
        group: asyncio.TaskGroup,
        record: JobRecord,
        action: Coroutine[None, None, object],
    ) -> None:
        """Run one action in its own task, with its job marked as busy."""
        self._data.busy.add(record.spec.job_id)
        group.create_task(self._guard(record.spec.job_id, action))

    async def _guard(self, job_id: str, action: Coroutine[None, None, object]) -> None:
        try:
            await action
        except Failure as failure:
            # The workers' reports or the store still show why the action is needed, so
            # the next report or pass starts it again.
            _log.warning("job_action_stopped", job_id=job_id, kind=failure.kind.value)
        finally:
            self._data.busy.discard(job_id)
            self._data.stopping.discard(job_id)
            self._data.wake()
