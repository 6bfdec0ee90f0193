"""A Hypothesis state machine of requests under faults, checked by an oracle."""

import sys

from features.doubles.network import Fate
from features.doubles.processes import Running
from features.doubles.requests import (
    ENTRIES,
    SETTLE_SECONDS,
    TARGETS,
    Counter,
    check_answerable,
    check_requests,
)
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

REQUEST_LIMIT = 6
PAUSES = (0.0, 0.05, 0.5, 2.5, 6.0)
entries = st.sampled_from(ENTRIES)
targets = st.sampled_from(TARGETS)
fates = st.lists(st.sampled_from(Fate), min_size=1, max_size=4)


class RequestMachine(RuleBasedStateMachine):
    """Each rule is an operation or a fault, after which time passes."""

    def __init__(self) -> None:
        super().__init__()
        self.world = Counter()
        self.pass_time(3.0)

    def pass_time(self, seconds: float) -> None:
        self.world.advance(seconds)
        check_requests(self.world)

    def draw_request(self, data: st.DataObject) -> int:
        return data.draw(st.integers(0, len(self.world.requests) - 1))

    @rule(seconds=st.sampled_from(PAUSES))
    def wait(self, seconds: float) -> None:
        self.pass_time(seconds)

    @precondition(lambda self: len(self.world.requests) < REQUEST_LIMIT)
    @rule(
        entry=entries,
        idempotent=st.sampled_from((False, False, True)),
        seconds=st.sampled_from((0.1, 3.0)),
        wait=st.sampled_from(PAUSES),
    )
    def send(self, entry: str, idempotent: bool, seconds: float, wait: float) -> None:
        self.world.send_new(entry, idempotent, seconds)
        self.pass_time(wait)

    @precondition(lambda self: self.world.requests)
    @rule(data=st.data(), entry=entries, wait=st.sampled_from(PAUSES))
    def send_again(self, data: st.DataObject, entry: str, wait: float) -> None:
        self.world.send_again(self.draw_request(data), entry)
        self.pass_time(wait)

    @precondition(lambda self: self.world.requests)
    @rule(data=st.data())
    def hang_up(self, data: st.DataObject) -> None:
        self.world.hang_up(self.draw_request(data))
        self.pass_time(0.0)

    @rule(name=entries, wait=st.sampled_from(PAUSES))
    def pause_or_resume(self, name: str, wait: float) -> None:
        if self.world.entries[name].process.state is Running.PAUSED:
            self.world.resume(name)
        else:
            self.world.pause(name)
        self.pass_time(wait)

    @rule(name=entries, wait=st.sampled_from(PAUSES))
    def restart(self, name: str, wait: float) -> None:
        self.world.restart(name)
        self.pass_time(wait)

    @rule(wait=st.sampled_from(PAUSES))
    def switch_store(self, wait: float) -> None:
        self.world.store.faults.down = not self.world.store.faults.down
        self.pass_time(wait)

    @rule(seconds=st.sampled_from((0.0, 0.5, 1.5)))
    def slow_store(self, seconds: float) -> None:
        self.world.store.faults.slow_seconds = seconds

    @rule(name=entries, chosen=fates, late=st.sampled_from((0.5, 4.0, 10.0)))
    def trouble_store_writes(self, name: str, chosen: list[Fate], late: float) -> None:
        link = self.world.entries[name].store_link
        link.fates.extend(chosen)
        link.late_seconds = late

    @rule(name=entries, chosen=fates)
    def trouble_sendings(self, name: str, chosen: list[Fate]) -> None:
        self.world.entries[name].target_link.fates.extend(chosen)

    @rule(name=entries, wait=st.sampled_from(PAUSES))
    def cut_store(self, name: str, wait: float) -> None:
        link = self.world.entries[name].store_link
        link.cut = not link.cut
        self.pass_time(wait)

    @rule(
        worker=targets,
        fault=st.sampled_from(("down", "frozen", "refuse_requests", "fail_requests")),
        wait=st.sampled_from(PAUSES),
    )
    def trouble_target(self, worker: str, fault: str, wait: float) -> None:
        faults = self.world.workers[worker].faults
        setattr(faults, fault, not getattr(faults, fault))
        self.pass_time(wait)

    @precondition(lambda self: not self.world.left)
    @rule(worker=targets, wait=st.sampled_from(PAUSES))
    def leave(self, worker: str, wait: float) -> None:
        self.world.leave(worker)
        self.pass_time(wait)

    def teardown(self) -> None:
        try:
            if sys.exc_info()[0] is None:
                self.world.heal()
                self.pass_time(SETTLE_SECONDS)
                check_answerable(self.world)
                check_requests(self.world)
        finally:
            self.world.close()
