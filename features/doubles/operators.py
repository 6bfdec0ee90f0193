"""Simulated operators, a store and processes that follow one team's settings."""

import json
from dataclasses import dataclass
from itertools import pairwise

from features.doubles.network import FaultyStore, Link
from features.doubles.processes import PausedRunner, SimulatedProcess

from primrosestile.coordination.setting_store import (
    decode_stored,
    make_setting_key,
    put_setting,
    read_setting,
)
from primrosestile.coordination.settings_follower import SettingsFollower, make_follower
from primrosestile.errors import Failure
from primrosestile.protocol.store import Entry
from primrosestile.state.settings import SETTINGS_PREFIX
from primrosestile_standin.store import MemoryStore

PATH = "teams/shows"
OPERATORS = ("o0", "o1")
FOLLOWERS = ("f0", "f1")
SETTLE_SECONDS = 15.0


@dataclass(eq=False, slots=True)
class Attempt:
    """One operator's change; its comment is unique.

    Attributes:
        outcome: `done`, or the kind of the refusal; empty while in progress.
        not_done: Whether the refusal said that nothing was changed.
    """

    comment: str
    expected: int
    outcome: str = ""
    not_done: bool = False


class Subtree:
    """The state of one fuzzed run."""

    def __init__(self) -> None:
        self.runner = PausedRunner()
        self.changes: list[Attempt] = []
        self.seen_values: list[bytes] = []
        self.seen_revisions: dict[str, int] = dict.fromkeys(OPERATORS, 0)
        self.operator_links = {name: Link() for name in OPERATORS}
        self.follower_links = {name: Link() for name in FOLLOWERS}
        self.followers: dict[str, SettingsFollower] = {}
        self.applied: dict[str, list[int]] = {name: [] for name in FOLLOWERS}
        self.runner.run(self._build())

    async def _build(self) -> None:
        self.store = MemoryStore()
        value = _make_value(0)
        await put_setting(self.store, PATH, value, 0, "o0", "the first")
        for name in FOLLOWERS:
            store = FaultyStore(self.store, self.follower_links[name])
            self.followers[name] = make_follower(store, name)
            self._record_applied(name)
            SimulatedProcess(name).start(self.followers[name].run())

    def _record_applied(self, name: str) -> None:
        follower = self.followers[name]
        follower.add_handler(
            lambda _: self.applied[name].append(follower.revisions.get(PATH, 0))
        )

    def advance(self, seconds: float) -> None:
        self.runner.advance(seconds)
        entry = self.read_entry()
        if entry is not None and entry.value not in self.seen_values:
            self.seen_values.append(entry.value)

    def read_entry(self) -> Entry | None:
        return self.store.read_all().get(make_setting_key(PATH))

    def read(self, operator: str) -> None:
        """Read the setting as an operator; no effect if the store does not answer."""
        self.runner.run(self._read(operator))

    async def _read(self, operator: str) -> None:
        try:
            stored, _ = await read_setting(self._store_of(operator), PATH)
        except Failure:
            return
        self.seen_revisions[operator] = stored.revision if stored else 0

    def _store_of(self, operator: str) -> FaultyStore:
        return FaultyStore(self.store, self.operator_links[operator])

    def change(self, operator: str, removes: bool) -> None:
        """Start a change of the revision that the operator has read."""
        number = len(self.changes) + 1
        attempt = Attempt(f"change {number}", self.seen_revisions[operator])
        self.changes.append(attempt)
        value = "" if removes else _make_value(number)
        self.runner.run(self._begin(operator, attempt, value))

    async def _begin(self, operator: str, attempt: Attempt, value: str) -> None:
        work = self._change(operator, attempt, value)
        SimulatedProcess(operator).start(work)

    async def _change(self, operator: str, attempt: Attempt, value: str) -> None:
        store = self._store_of(operator)
        try:
            await put_setting(
                store, PATH, value, attempt.expected, operator, attempt.comment
            )
            attempt.outcome = "done"
        except Failure as failure:
            attempt.outcome = failure.kind.value
            attempt.not_done = failure.not_run

    def relay(self, follower: str, place: int) -> None:
        """Apply an earlier value to a follower, as an outdated peer would relay it."""
        self.runner.run(self._relay(follower, self.seen_values[place]))

    async def _relay(self, follower: str, value: bytes) -> None:
        self.followers[follower].apply({PATH: value})

    def heal(self) -> None:
        self.store.faults.down = False
        self.store.faults.slow_seconds = 0.0
        for link in (*self.operator_links.values(), *self.follower_links.values()):
            link.fates.clear()
            link.cut = False

    def close(self) -> None:
        self.runner.close()

    def list_accepted(self) -> list[str]:
        """Return the comments of all accepted changes, in order."""
        entry = self.read_entry()
        if entry is None:
            return []
        return [change.comment for change in decode_stored(entry.value).audit]


def _make_value(number: int) -> str:
    team = {"name": "shows", "organisation": "domeworks", "quota_accelerators": number}
    return json.dumps(team)


def check_followers(subtree: Subtree) -> None:
    """Check that no process goes back to a lower revision."""
    for name, revisions in subtree.applied.items():
        assert revisions == sorted(revisions), f"{name} applied {revisions}"


def check_operators(subtree: Subtree) -> None:
    """Check that operators get true answers and no change is silently undone."""
    entry = subtree.read_entry()
    assert entry is not None, f"{SETTINGS_PREFIX}{PATH} is gone"
    audit = decode_stored(entry.value).audit
    assert [each.revision for each in audit] == list(range(1, len(audit) + 1))
    for before, after in pairwise(audit):
        assert after.before == before.after, f"{after.comment} undid {before.comment}"
    revisions = {each.comment: each.revision for each in audit}
    for change in subtree.changes:
        accepted = revisions.get(change.comment)
        assert change.outcome != "done" or accepted, f"{change.comment} was not done"
        assert not (change.not_done and accepted), (
            f"{change.comment} was answered {change.outcome} and was done"
        )
        assert accepted in (None, change.expected + 1), f"{change.comment} saw less"


def check_in_force(subtree: Subtree) -> None:
    """Check that the latest change is in force everywhere, without faults."""
    entry = subtree.read_entry()
    assert entry is not None
    latest = decode_stored(entry.value).revision
    for name, follower in subtree.followers.items():
        revision = follower.revisions.get(PATH, 0)
        assert revision == latest, f"{name} is at {revision}, not {latest}"
