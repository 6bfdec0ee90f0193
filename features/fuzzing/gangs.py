"""A Hypothesis state machine of gangs under faults, checked by an oracle."""

import sys

from features.doubles.cells import (
    PLACERS,
    SETTLE_SECONDS,
    WORKERS,
    Deployment,
    check_gangs,
    check_settled,
)
from features.doubles.network import Fate
from features.doubles.processes import Running
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

JOB_LIMIT = 4
LEAVING_LIMIT = 1
PAUSES = (0.05, 1.0, 3.0, 8.0, 16.0)
OWNER = "owner"
# Most faults happen around the cell's owner.
placers = st.sampled_from((OWNER, OWNER, *PLACERS))
workers = st.sampled_from(WORKERS)
# A slow store may carry a write out long after its caller timed out; by then the
# caller may have lost its cell.
late = st.sampled_from((0.5, 4.0, 10.0))
fates = st.lists(st.sampled_from(Fate), min_size=1, max_size=3)


class GangMachine(RuleBasedStateMachine):
    """One run: each rule is an operation or a fault, then time passes."""

    def __init__(self) -> None:
        super().__init__()
        self.deployment = Deployment()
        self.pass_time(3.0)

    def pass_time(self, seconds: float) -> None:
        self.deployment.advance(seconds)
        check_gangs(self.deployment)

    def find_placer(self, name: str) -> str:
        """Return a placer's name; the owner is whoever runs the cell now."""
        if name != OWNER:
            return name
        for placer in self.deployment.placers.values():
            if placer.ownership.keepers and placer.process.state is Running.YES:
                return placer.process.name
        return PLACERS[0]

    @rule(seconds=st.sampled_from(PAUSES))
    def wait(self, seconds: float) -> None:
        self.pass_time(seconds)

    @precondition(lambda self: len(self.deployment.submitted) < JOB_LIMIT)
    @rule(
        seconds=st.sampled_from((5.0, 30.0, 60.0)),
        restartable=st.booleans(),
        wait=st.sampled_from(PAUSES),
    )
    def submit(self, seconds: float, restartable: bool, wait: float) -> None:
        self.deployment.submit(seconds, restartable)
        self.pass_time(wait)

    @precondition(lambda self: len(self.deployment.submitted) < JOB_LIMIT)
    @rule(
        before=st.integers(0, 6),
        fate=st.sampled_from(Fate),
        count=st.integers(1, 6),
        restartable=st.booleans(),
        wait=st.sampled_from(PAUSES),
    )
    def submit_into_trouble(
        self, before: int, fate: Fate, count: int, restartable: bool, wait: float
    ) -> None:
        """Let some calls of a start go well, and the next ones not."""
        owner = self.deployment.placers[self.find_placer(OWNER)]
        owner.worker_link.fates.clear()
        owner.worker_link.fates.extend([Fate.DONE] * before + [fate] * count)
        self.deployment.submit(30.0, restartable)
        self.pass_time(wait)

    @precondition(lambda self: len(self.deployment.submitted) < JOB_LIMIT)
    @rule(
        before=st.integers(0, 1),
        fate=st.sampled_from(Fate),
        restartable=st.booleans(),
        kill=st.booleans(),
        late=late,
        wait=st.sampled_from(PAUSES),
    )
    def submit_and_stop_owner(
        self,
        before: int,
        fate: Fate,
        restartable: bool,
        kill: bool,
        late: float,
        wait: float,
    ) -> None:
        """Stop the owner between the stages of a start."""
        owner = self.find_placer(OWNER)
        link = self.deployment.placers[owner].store_link
        link.fates.extend([Fate.DONE] * before + [fate])
        link.late_seconds = late
        self.deployment.submit(30.0, restartable)
        self.pass_time(0.05)
        if kill:
            self.deployment.kill(owner)
        else:
            self.deployment.pause(owner)
        self.pass_time(wait)

    @rule(worker=workers, wait=st.sampled_from(PAUSES))
    def lose_owner_and_task_in_outage(self, worker: str, wait: float) -> None:
        self.deployment.store.faults.down = True
        self.deployment.kill(self.find_placer(OWNER))
        self.pass_time(8.0)
        self.deployment.lose_tasks(worker)
        self.pass_time(wait)

    @precondition(lambda self: self.deployment.submitted)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        last = len(self.deployment.submitted) - 1
        self.deployment.cancel(data.draw(st.integers(0, last)))
        self.pass_time(0.05)

    @rule(name=placers, wait=st.sampled_from(PAUSES))
    def pause_or_resume(self, name: str, wait: float) -> None:
        name = self.find_placer(name)
        if self.deployment.placers[name].process.state is Running.PAUSED:
            self.deployment.resume(name)
        else:
            self.deployment.pause(name)
        self.pass_time(wait)

    @rule(name=placers, wait=st.sampled_from(PAUSES))
    def kill_or_restart(self, name: str, wait: float) -> None:
        name = self.find_placer(name)
        if self.deployment.placers[name].process.state is Running.KILLED:
            self.deployment.restart(name)
        else:
            self.deployment.kill(name)
        self.pass_time(wait)

    @rule(wait=st.sampled_from(PAUSES))
    def switch_store(self, wait: float) -> None:
        self.deployment.store.faults.down = not self.deployment.store.faults.down
        self.pass_time(wait)

    @rule(seconds=st.sampled_from((0.0, 0.5, 1.5)))
    def slow_store(self, seconds: float) -> None:
        self.deployment.store.faults.slow_seconds = seconds

    @rule(name=placers, chosen=fates, late=late)
    def trouble_store_writes(self, name: str, chosen: list[Fate], late: float) -> None:
        link = self.deployment.placers[self.find_placer(name)].store_link
        link.fates.extend(chosen)
        link.late_seconds = late

    @rule(chosen=fates)
    def trouble_entry_writes(self, chosen: list[Fate]) -> None:
        self.deployment.entry_link.fates.extend(chosen)

    @rule(name=placers, chosen=fates)
    def trouble_worker_calls(self, name: str, chosen: list[Fate]) -> None:
        name = self.find_placer(name)
        self.deployment.placers[name].worker_link.fates.extend(chosen)

    @rule(name=placers, wait=st.sampled_from(PAUSES))
    def cut_store(self, name: str, wait: float) -> None:
        name = self.find_placer(name)
        link = self.deployment.placers[name].store_link
        link.cut = not link.cut
        self.pass_time(wait)

    @rule(name=placers, worker=workers, wait=st.sampled_from(PAUSES))
    def cut_worker(self, name: str, worker: str, wait: float) -> None:
        name = self.find_placer(name)
        self.deployment.placers[name].worker_link.cut_workers ^= {worker}
        self.pass_time(wait)

    @rule(hidden=st.sets(workers, min_size=1), wait=st.sampled_from(PAUSES))
    def hide_workers_from_others(self, hidden: set[str], wait: float) -> None:
        """Let nobody but the present owner reach some workers."""
        owner = self.find_placer(OWNER)
        for name, placer in self.deployment.placers.items():
            if name != owner:
                placer.worker_link.cut_workers |= hidden
        self.pass_time(wait)

    @rule(worker=workers, wait=st.sampled_from(PAUSES))
    def freeze_worker(self, worker: str, wait: float) -> None:
        faults = self.deployment.workers_by_name[worker].faults
        faults.frozen = not faults.frozen
        self.pass_time(wait)

    @rule(worker=workers, wait=st.sampled_from(PAUSES))
    def kill_or_revive_worker(self, worker: str, wait: float) -> None:
        faults = self.deployment.workers_by_name[worker].faults
        if faults.down:
            faults.down = False
        else:
            self.deployment.kill_worker(worker)
        self.pass_time(wait)

    @rule(worker=workers, wait=st.sampled_from(PAUSES))
    def lose_tasks(self, worker: str, wait: float) -> None:
        self.deployment.lose_tasks(worker)
        self.pass_time(wait)

    @precondition(lambda self: len(self.deployment.left) < LEAVING_LIMIT)
    @rule(worker=workers, told=st.booleans(), wait=st.sampled_from(PAUSES))
    def leave(self, worker: str, told: bool, wait: float) -> None:
        self.deployment.leave(worker, told=told, listed=not told)
        self.pass_time(wait)

    def teardown(self) -> None:
        try:
            if sys.exc_info()[0] is None:
                self.deployment.heal()
                self.pass_time(SETTLE_SECONDS)
                check_settled(self.deployment)
        finally:
            self.deployment.close()
