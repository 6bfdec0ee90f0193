"""A Hypothesis state machine of settings under faults, checked by an oracle."""

import sys

from features.doubles.network import Fate
from features.doubles.operators import (
    FOLLOWERS,
    OPERATORS,
    SETTLE_SECONDS,
    Subtree,
    check_followers,
    check_in_force,
    check_operators,
)
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

PAUSES = (0.0, 0.3, 1.0, 4.0)
CHANGE_LIMIT = 12
operators = st.sampled_from(OPERATORS)
followers = st.sampled_from(FOLLOWERS)
fates = st.lists(st.sampled_from(Fate), min_size=1, max_size=4)


class SettingsMachine(RuleBasedStateMachine):
    """One run: each rule is an operation or a fault, then time passes."""

    def __init__(self) -> None:
        super().__init__()
        self.subtree = Subtree()
        self.pass_time(1.0)

    def pass_time(self, seconds: float) -> None:
        self.subtree.advance(seconds)
        check_followers(self.subtree)
        check_operators(self.subtree)

    @rule(seconds=st.sampled_from(PAUSES))
    def wait(self, seconds: float) -> None:
        self.pass_time(seconds)

    @rule(name=operators)
    def read(self, name: str) -> None:
        self.subtree.read(name)

    @precondition(lambda self: len(self.subtree.changes) < CHANGE_LIMIT)
    @rule(name=operators, removes=st.booleans(), wait=st.sampled_from(PAUSES))
    def change(self, name: str, removes: bool, wait: float) -> None:
        self.subtree.change(name, removes)
        self.pass_time(wait)

    @rule(name=operators, chosen=fates, late=st.sampled_from((0.5, 4.0, 10.0)))
    def trouble_writes(self, name: str, chosen: list[Fate], late: float) -> None:
        link = self.subtree.operator_links[name]
        link.fates.extend(chosen)
        link.late_seconds = late

    @rule(name=followers, data=st.data())
    def relay_old_value(self, name: str, data: st.DataObject) -> None:
        place = data.draw(st.integers(0, len(self.subtree.seen_values) - 1))
        self.subtree.relay(name, place)
        self.pass_time(0.0)

    @rule(name=followers, wait=st.sampled_from(PAUSES))
    def cut_follower(self, name: str, wait: float) -> None:
        link = self.subtree.follower_links[name]
        link.cut = not link.cut
        self.pass_time(wait)

    @rule(wait=st.sampled_from(PAUSES))
    def switch_store(self, wait: float) -> None:
        faults = self.subtree.store.faults
        faults.down = not faults.down
        self.pass_time(wait)

    @rule(seconds=st.sampled_from((0.0, 0.5)))
    def slow_store(self, seconds: float) -> None:
        self.subtree.store.faults.slow_seconds = seconds

    def teardown(self) -> None:
        try:
            if sys.exc_info()[0] is None:
                self.subtree.heal()
                self.pass_time(SETTLE_SECONDS)
                check_in_force(self.subtree)
        finally:
            self.subtree.close()
