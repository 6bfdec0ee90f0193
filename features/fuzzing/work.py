"""A Hypothesis state machine of work on the fleet under faults, with an oracle."""

import sys
from typing import Any

from features.doubles.fleet_world import make_address
from features.doubles.processes import Running
from features.doubles.work_links import Way
from features.doubles.work_world import (
    PROCESSES,
    VMS,
    WorkWorld,
    check_ended,
    check_ledger,
)
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

JOB_LIMIT = 4
FOREIGN_LIMIT = 2
# Longer than a new owner waits for an unreachable worker; one such job a run.
LONG_SECONDS = 40.0
# Steps until a wrong time has been returned and processed.
TOLD_STEPS = 60
TOLD_STEP_SECONDS = 0.05
PAUSES = (0.05, 0.3, 1.0, 3.0, 8.0)
# The longest exceeds a new owner's wait for a worker that never answered it.
LONG_PAUSES = (3.0, 8.0, 20.0)
OWNER = "owner"
# Most faults happen around the owner.
processes = st.sampled_from((OWNER, OWNER, *PROCESSES))
vms = st.sampled_from(VMS)
waits = st.sampled_from(PAUSES)
long_waits = st.sampled_from(LONG_PAUSES)
# Around the record of a run and the sending of its start, then while it runs.
moments = st.sampled_from((0.004, 0.008, 0.01, 0.012, 0.016, 0.03, 0.05, 0.5))
durations = st.sampled_from((0.5, 3.0, 12.0))
late = st.sampled_from((2.0, 5.0, 8.0, 12.0))
ways = st.lists(st.sampled_from(Way), min_size=1, max_size=4)
rates = st.sampled_from((1.0, 0.98))
SHAPES: dict[str, list[dict[str, Any]]] = {
    "tasks": [{"count": 3}],
    "wide tasks": [{"count": 6, "gpu": 2}],
    "large tasks": [{"count": 2, "gpu": 3}],
    "gang": [{"count": 3, "gpu": 2, "gang": True}],
    "a gang of two": [{"count": 2, "gpu": 3, "gang": True}],
    "steps": [{"count": 2}, {"count": 2, "after": [0]}],
    "saved tasks": [{"count": 3, "gpu": 2, "checkpoint": True}],
    "a saved gang": [{"count": 2, "gpu": 3, "gang": True, "checkpoint": True}],
    "gang after tasks": [{"count": 2}, {"count": 2, "gang": True, "after": [0]}],
}
shapes = st.sampled_from(sorted(SHAPES))
# Errors in seconds of a worker's time, and errors of its end numbers.
jumps = st.sampled_from((3600.0, 12.0, 2.0, 0.5, -2.0, -3600.0))
number_jumps = st.sampled_from((1, 2, 1000, 900_000))
# Parts of a valid entry, and what another writer puts in their place.
FOREIGN_PARTS: tuple[tuple[bytes, bytes], ...] = (
    (b'"state": "ready"', b'"state": "asleep"'),
    (b'"service": "engine"', b'"service": "other"'),
    (b'"gpu": 4', b'"gpu": -8'),
    (b'"address"', b'"adress"'),
    (b"}", b""),
    (b'"', b"\xff"),
)
policies = st.sampled_from(
    (
        None,
        {"usual": 0, "urgent": 1},
        {"usual": 2},
        {"urgent": 0},
    )
)


class WorkMachine(RuleBasedStateMachine):
    """One run: each rule is an operation or a fault, then time passes."""

    def __init__(self) -> None:
        super().__init__()
        self.world = WorkWorld()
        self.foreign = 0
        self.long = False
        self.world.begin()

    def pass_time(self, seconds: float) -> None:
        self.world.advance(seconds)
        check_ledger(self.world)

    def find_process(self, name: str) -> str:
        """Return a process's name; the owner is whoever schedules now."""
        return self.world.find_owner_name() if name == OWNER else name

    def hand_in(self, shape: str, seconds: float, process: str = "") -> None:
        """Hand a job in where a caller gets through."""
        running = self.world.find_running()
        if running:
            chosen = process if process in running else running[0]
            self.world.hand_in(chosen, seconds, SHAPES[shape])

    @rule(seconds=waits)
    def wait(self, seconds: float) -> None:
        self.pass_time(seconds)

    @precondition(lambda self: len(self.world.jobs) < JOB_LIMIT)
    @rule(shape=shapes, seconds=durations, process=processes, wait=waits)
    def submit(self, shape: str, seconds: float, process: str, wait: float) -> None:
        self.hand_in(shape, seconds, self.find_process(process))
        self.pass_time(wait)

    @precondition(lambda self: len(self.world.jobs) < JOB_LIMIT)
    @rule(
        shape=shapes,
        seconds=durations,
        before=st.integers(0, 3),
        way=st.sampled_from(Way),
        count=st.integers(1, 12),
        late=late,
        wait=waits,
    )
    def submit_into_trouble(
        self,
        shape: str,
        seconds: float,
        before: int,
        way: Way,
        count: int,
        late: float,
        wait: float,
    ) -> None:
        """Let some orders of a start go well, and the next ones not."""
        link = self.world.seats[self.find_process(OWNER)].link
        link.order_ways.clear()
        link.order_ways.extend([Way.DONE] * before + [way] * count)
        link.late_seconds = late
        self.hand_in(shape, seconds)
        self.pass_time(wait)

    @precondition(lambda self: len(self.world.jobs) < JOB_LIMIT)
    @rule(
        shape=shapes,
        seconds=durations,
        moment=moments,
        kill=st.booleans(),
        wait=waits,
    )
    def submit_and_stop_owner(
        self, shape: str, seconds: float, moment: float, kill: bool, wait: float
    ) -> None:
        """Stop the owner between the stages of a start."""
        owner = self.find_process(OWNER)
        others = [name for name in PROCESSES if name != owner]
        self.hand_in(shape, seconds, others[0])
        self.pass_time(moment)
        self.stop_process(owner, kill)
        self.pass_time(wait)

    @precondition(lambda self: len(self.world.jobs) < JOB_LIMIT)
    @rule(
        shape=shapes,
        seconds=durations,
        moment=moments,
        vm=vms,
        sleeps=st.booleans(),
        apart=st.booleans(),
        lost=st.integers(0, 2),
        wait=long_waits,
    )
    def submit_and_hide_owner(
        self,
        shape: str,
        seconds: float,
        moment: float,
        vm: str,
        sleeps: bool,
        apart: bool,
        lost: int,
        wait: float,
    ) -> None:
        """Suspend the owner, or cut it from the store; its successor reaches one VM.

        Apart, the owner reaches the other VMs only, and nobody tells it of the
        successor; then the job may outlast the wait for them.
        """
        owner = self.find_process(OWNER)
        others = [name for name in PROCESSES if name != owner]
        if apart and not self.long:
            self.long = True
            seconds = LONG_SECONDS
        link = self.world.seats[owner].link
        link.order_ways.extend([Way.LOST_BEFORE] * lost)
        if apart:
            link.cut = {make_address(vm)}
        self.hand_in(shape, seconds, others[0])
        self.pass_time(moment)
        if sleeps:
            self.world.seats[owner].machine.pause()
        else:
            self.world.store.faults.refused.add(owner)
        for name in others:
            self.world.seats[name].link.cut = {
                make_address(each) for each in VMS if each != vm
            }
        self.pass_time(wait)
        self.world.do(self.world.seats[owner].machine.resume)
        self.world.store.faults.refused.discard(owner)
        self.pass_time(0.3)

    @precondition(lambda self: len(self.world.jobs) < JOB_LIMIT)
    @rule(
        shape=shapes,
        seconds=durations,
        moment=moments,
        count=st.integers(1, 4),
        late=late,
        wait=long_waits,
    )
    def submit_and_write_late(
        self,
        shape: str,
        seconds: float,
        moment: float,
        count: int,
        late: float,
        wait: float,
    ) -> None:
        """Let records come late, then change the owner."""
        self.hand_in(shape, seconds)
        self.pass_time(moment)
        self.world.store.faults.late_writes = [late] * count
        self.pass_time(wait)
        self.world.kill_process(self.find_process(OWNER))
        self.pass_time(3.0)

    @precondition(lambda self: len(self.world.jobs) < JOB_LIMIT)
    @rule(shape=shapes, vm=vms, moment=st.sampled_from((0.3, 1.0)), wait=long_waits)
    def submit_and_cut_worker(
        self, shape: str, vm: str, moment: float, wait: float
    ) -> None:
        """Cut a worker off while long work runs on it."""
        self.hand_in(shape, 12.0)
        self.pass_time(moment)
        self.world.serving[vm].faults.cut = True
        self.pass_time(wait)

    @precondition(lambda self: len(self.world.jobs) < JOB_LIMIT)
    @rule(shape=shapes, seconds=durations, count=st.integers(1, 4), late=late)
    def submit_and_refuse(
        self, shape: str, seconds: float, count: int, late: float
    ) -> None:
        """Let starts come late, and workers refuse when these are tried again."""
        link = self.world.seats[self.find_process(OWNER)].link
        link.order_ways.clear()
        link.order_ways.extend([Way.LATE] * count)
        link.late_seconds = late
        self.hand_in(shape, seconds)
        for refuses in (True, False):
            self.pass_time(0.3)
            for worker in self.world.serving.values():
                worker.faults.unhealthy = refuses
        self.pass_time(late)

    @precondition(lambda self: len(self.world.jobs) < JOB_LIMIT)
    @rule(
        vm=vms,
        moment=st.sampled_from((0.1, 0.3, 0.5, 0.7, 0.9, 1.1, 1.3)),
        count=st.integers(4, 20),
        wait=waits,
    )
    def submit_gang_beside_late_looks(
        self, vm: str, moment: float, count: int, wait: float
    ) -> None:
        """Let looks' answers be overtaken while a gang is refused by one worker."""
        link = self.world.seats[self.find_process(OWNER)].link
        link.look_ways.extend([Way.SLOW_BACK] * count)
        for worker in self.world.serving.values():
            worker.faults.stop_seconds = 0.4
        self.pass_time(moment)
        self.world.serving[vm].faults.unhealthy = True
        self.hand_in("a gang of two", 3.0)
        self.pass_time(1.0)
        self.world.serving[vm].faults.unhealthy = False
        self.pass_time(wait)

    @rule(
        vm=vms,
        wrong=jumps,
        count=st.sampled_from((1, 2, 30)),
        cut=st.booleans(),
        wait=long_waits,
    )
    def tell_wrong_time(
        self, vm: str, wrong: float, count: int, cut: bool, wait: float
    ) -> None:
        """Let a worker tell a wrong time, and fall silent as soon as it has."""
        faults = self.world.serving[vm].faults
        faults.clock_jumps.extend([wrong] * count)
        for _ in range(TOLD_STEPS):
            if faults.clock_jumps:
                self.pass_time(TOLD_STEP_SECONDS)
        faults.cut = cut
        self.pass_time(wait)

    @rule(vm=vms, much=number_jumps, count=st.integers(1, 2), wait=waits)
    def number_ends_wrong(self, vm: str, much: int, count: int, wait: float) -> None:
        """Let a worker number its next ends too high."""
        self.world.serving[vm].faults.number_jumps.extend([much] * count)
        self.pass_time(wait)

    @rule(queues=policies, attempts=st.integers(1, 3), wait=waits)
    def change_policy(
        self, queues: dict[str, int] | None, attempts: int, wait: float
    ) -> None:
        """Let operators change queues and attempts, or take the queue away."""
        self.world.do(self.world.change_policy, attempts, queues)
        self.pass_time(wait)

    @rule(vm=vms, other=vms, wait=waits)
    def list_other_address(self, vm: str, other: str, wait: float) -> None:
        """Let a live worker's own entry name another address."""
        good = self.world.make_entry(vm).encode()
        wrong = good.replace(make_address(vm).encode(), make_address(other).encode())
        self.world.do(self.world.overwrite_entry, vm, wrong)
        self.pass_time(wait)

    @rule(vm=vms, part=st.sampled_from(FOREIGN_PARTS), wait=waits)
    def list_unreadable(self, vm: str, part: tuple[bytes, bytes], wait: float) -> None:
        """Let a live worker's own entry be one that can't be read."""
        wrong = self.world.make_entry(vm).encode().replace(*part)
        self.world.do(self.world.overwrite_entry, vm, wrong)
        self.pass_time(wait)

    @rule(vm=vms, wait=waits)
    def list_right(self, vm: str, wait: float) -> None:
        """Let a worker write its entry again."""
        self.world.do(self.world.list_state, vm, "ready")
        self.pass_time(wait)

    def stop_process(self, name: str, kill: bool) -> None:
        if kill:
            self.world.kill_process(name)
        else:
            self.world.seats[name].machine.pause()

    @precondition(lambda self: self.world.jobs)
    @rule(data=st.data(), wait=waits)
    def cancel(self, data: st.DataObject, wait: float) -> None:
        last = len(self.world.jobs) - 1
        index = data.draw(st.integers(0, last))
        running = self.world.find_running()
        if running:
            self.world.cancel(running[-1], index)
        self.pass_time(wait)

    @rule(vm=vms, gap=st.sampled_from((0.0, 0.3, 1.0)), rate=rates, wait=waits)
    def crash_and_restart(self, vm: str, gap: float, rate: float, wait: float) -> None:
        """Begin a worker's next life beside the entry of its former one."""
        if self.world.serving[vm].alive:
            self.world.do(self.world.crash, vm)
            self.pass_time(gap)
        self.world.do(self.world.restart_life, vm, rate)
        self.pass_time(wait)

    @rule(
        vm=vms,
        gap=st.sampled_from((0.0, 0.1, 0.3, 1.0, 3.0, 9.0)),
        rate=rates,
        wait=waits,
    )
    def restart_under_id(self, vm: str, gap: float, rate: float, wait: float) -> None:
        """Begin a worker's next start under the id that it had."""
        if self.world.serving[vm].alive:
            self.world.do(self.world.crash, vm)
            self.pass_time(gap)
        self.world.do(self.world.restart_life, vm, rate, True)
        self.pass_time(wait)

    @precondition(lambda self: len(self.world.jobs) < JOB_LIMIT)
    @rule(
        vm=vms,
        shape=shapes,
        seconds=durations,
        count=st.integers(1, 4),
        late=late,
        moment=moments,
        gap=st.sampled_from((0.0, 0.1, 1.0, 3.0, 9.0)),
        kill=st.booleans(),
        wait=long_waits,
    )
    def submit_late_and_restart_under_id(
        self,
        vm: str,
        shape: str,
        seconds: float,
        count: int,
        late: float,
        moment: float,
        gap: float,
        kill: bool,
        wait: float,
    ) -> None:
        """Let starts come late, at the next start of the worker, and change owners."""
        owner = self.find_process(OWNER)
        link = self.world.seats[owner].link
        link.order_ways.extend([Way.LATE] * count)
        link.late_seconds = late
        self.hand_in(shape, seconds)
        self.pass_time(moment)
        self.restart_under_id(vm, gap, 1.0, 0.0)
        if kill:
            self.world.kill_process(owner)
        self.pass_time(wait)

    @precondition(lambda self: len(self.world.jobs) < JOB_LIMIT)
    @rule(vm=vms, shape=shapes, seconds=durations, wait=waits)
    def submit_after_crash(
        self, vm: str, shape: str, seconds: float, wait: float
    ) -> None:
        """Begin a worker's next life beside its former entry, then hand a job in."""
        if self.world.serving[vm].alive:
            self.world.do(self.world.crash, vm)
        self.world.do(self.world.restart_life, vm)
        self.pass_time(1.0)
        self.hand_in(shape, seconds)
        self.pass_time(wait)

    @rule(vm=vms, listed_for=st.sampled_from((0.0, 4.5)), wait=waits)
    def crash(self, vm: str, listed_for: float, wait: float) -> None:
        if self.world.serving[vm].alive:
            self.world.do(self.world.crash, vm, listed_for)
        self.pass_time(wait)

    @rule(vm=vms, wait=waits)
    def leave(self, vm: str, wait: float) -> None:
        """Let a worker say that it leaves; it goes by a later rule."""
        self.world.do(self.world.list_state, vm, "draining")
        self.pass_time(wait)

    @rule(vm=vms, wait=waits)
    def unlist_or_list(self, vm: str, wait: float) -> None:
        """Let a live worker's entry lapse, or come back."""
        key = f"servers/{self.world.serving[vm].entry.worker_id}"
        if self.world.do(self.world.store.read, key) is None:
            self.world.do(self.world.list_state, vm, "ready")
        else:
            self.world.do(self.world.store.remove, key)
        self.pass_time(wait)

    @precondition(lambda self: self.foreign < FOREIGN_LIMIT)
    @rule(vm=vms, name=st.sampled_from(("000-other", "zzz-other")), wait=waits)
    def list_foreign(self, vm: str, name: str, wait: float) -> None:
        self.foreign += 1
        self.world.do(self.world.list_foreign, name, vm)
        self.pass_time(wait)

    @rule(vm=vms, wait=waits)
    def cut_worker(self, vm: str, wait: float) -> None:
        """Cut a worker off from everybody, or let it be reached again."""
        faults = self.world.serving[vm].faults
        faults.cut = not faults.cut
        self.pass_time(wait)

    @rule(name=processes, vm=vms, answers=st.booleans(), wait=waits)
    def cut_from_worker(self, name: str, vm: str, answers: bool, wait: float) -> None:
        """Cut one process off from a worker, both ways or its answers only."""
        link = self.world.seats[self.find_process(name)].link
        chosen = link.deaf if answers else link.cut
        chosen ^= {make_address(vm)}
        self.pass_time(wait)

    @rule(name=processes, wait=waits)
    def cut_from_workers(self, name: str, wait: float) -> None:
        """Cut one process off from all workers, or let it reach them again."""
        link = self.world.seats[self.find_process(name)].link
        everywhere = {make_address(vm) for vm in VMS}
        link.cut = set() if link.cut else everywhere
        self.pass_time(wait)

    @rule(name=processes, chosen=ways, late=late)
    def trouble_orders(self, name: str, chosen: list[Way], late: float) -> None:
        link = self.world.seats[self.find_process(name)].link
        link.order_ways.extend(chosen)
        link.late_seconds = late

    @rule(name=processes, chosen=ways, late=late, wait=waits)
    def trouble_looks(
        self, name: str, chosen: list[Way], late: float, wait: float
    ) -> None:
        link = self.world.seats[self.find_process(name)].link
        link.look_ways.extend(chosen)
        link.late_seconds = late
        self.pass_time(wait)

    @rule(vm=vms, wait=waits)
    def refuse_starts(self, vm: str, wait: float) -> None:
        """Let a worker refuse all starts, or take them again."""
        faults = self.world.serving[vm].faults
        faults.unhealthy = not faults.unhealthy
        self.pass_time(wait)

    @rule(vm=vms, seconds=st.sampled_from((0.0, 0.2, 0.4)))
    def slow_stops(self, vm: str, seconds: float) -> None:
        self.world.serving[vm].faults.stop_seconds = seconds

    @rule(name=processes, wait=waits)
    def pause_or_resume(self, name: str, wait: float) -> None:
        machine = self.world.seats[self.find_process(name)].machine
        if machine.state is Running.PAUSED:
            self.world.do(machine.resume)
        else:
            machine.pause()
        self.pass_time(wait)

    @rule(name=processes, wait=waits)
    def kill_or_restart(self, name: str, wait: float) -> None:
        name = self.find_process(name)
        if self.world.seats[name].machine.state is Running.KILLED:
            self.world.do(self.world.start, name)
        else:
            self.world.kill_process(name)
        self.pass_time(wait)

    @rule(name=processes, answers=st.booleans(), wait=waits)
    def cut_store(self, name: str, answers: bool, wait: float) -> None:
        """Turn a process away at the store, or leave it without an answer."""
        faults = self.world.store.faults
        chosen = faults.silent if answers else faults.refused
        chosen ^= {self.find_process(name)}
        self.pass_time(wait)

    @rule(pause=st.booleans(), wait=waits)
    def switch_store(self, pause: bool, wait: float) -> None:
        faults = self.world.store.faults
        faults.down = not faults.down
        faults.leases_pause = pause
        self.pass_time(wait)

    @rule(seconds=st.sampled_from((0.0, 0.1, 0.4)))
    def slow_store(self, seconds: float) -> None:
        self.world.store.faults.slow_seconds = seconds

    @rule(count=st.integers(1, 4), late=late, answers=st.booleans())
    def trouble_writes(self, count: int, late: float, answers: bool) -> None:
        """Carry writes out unheard, or seconds late."""
        faults = self.world.store.faults
        if answers:
            faults.lose_writes = count
        else:
            faults.late_writes = [late] * count

    @rule()
    def drop_history(self) -> None:
        self.world.do(self.world.store.compact)

    def teardown(self) -> None:
        try:
            if sys.exc_info()[0] is None:
                self.world.heal()
                check_ended(self.world)
                check_ledger(self.world)
        finally:
            self.world.close()
