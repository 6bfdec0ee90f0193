"""Steps on stored settings: races, lost answers, the audit trail."""

import asyncio
import itertools
from collections.abc import Awaitable
from dataclasses import replace
from typing import Any

import msgspec
from behave import given, then, when
from features.settings.doubles import (
    ACTOR,
    encode_text,
    make_loaded_store,
    read_example_settings,
    run_paused,
)

from primrosestile.coordination.audit import read_history
from primrosestile.coordination.setting_store import (
    encode_stored,
    make_setting_key,
    put_setting,
    read_setting,
)
from primrosestile.coordination.settings_follower import make_follower
from primrosestile.decisions.settings_change import check_change
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import SwapResult
from primrosestile.state.settings import StoredSetting
from primrosestile.state.tenancy import Guarantees, Policy
from primrosestile_standin.store import MemoryStore

FIRST = encode_text(Policy())
SECOND = encode_text(Policy(queue_limit=11))
THIRD = encode_text(Policy(queue_limit=12))


class Dies(Exception):
    """Simulates the death of the process in the middle of a change."""


class DyingStore(MemoryStore):
    """Ends its caller before it writes the value of a setting."""

    dying = False

    async def put(
        self, key: str, value: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        if self.dying and key.startswith("settings/"):
            raise Dies
        return await super().put(key, value, expected, lease)


class OutageStore(MemoryStore):
    """Carries out the next write, loses its answer and goes down."""

    ending = False

    async def put(
        self, key: str, value: bytes, expected: int, lease: int = 0
    ) -> SwapResult:
        swap = await super().put(key, value, expected, lease)
        if not self.ending:
            return swap
        self.faults.down = True
        raise Failure(ErrorKind.STORE_ANSWER_LOST, "the answer was lost")


async def catch(work: Awaitable[Any]) -> Any:
    try:
        return await work
    except Failure as failure:
        return failure


def start_policy(store: MemoryStore) -> MemoryStore:
    entry = encode_stored(StoredSetting(1, FIRST))
    run_paused(store.put(make_setting_key("policy"), entry, 0))
    return store


@given("a settings store with policy at revision 1")
def give_policy(context: Any) -> None:
    context.store = start_policy(DyingStore())


@given("a settings store with the domeworks example")
def give_loaded(context: Any) -> None:
    context.store = run_paused(make_loaded_store("domeworks"))


@given("the settings store loses the next {count:d} answers")
def give_lost(context: Any, count: int) -> None:
    context.store.faults.lose_answers = count


@given("the settings store loses the next answer and goes down after it")
def give_lost_and_down(context: Any) -> None:
    context.store = start_policy(OutageStore())
    context.store.ending = True


@given("the settings store is down")
def give_down(context: Any) -> None:
    context.store.faults.down = True


@when("an operator changes policy from revision 1")
def change_policy(context: Any) -> None:
    change = put_setting(context.store, "policy", SECOND, 1, ACTOR)
    context.answer = run_paused(catch(change))


@then("the settings change is answered as revision 2")
def answer_second(context: Any) -> None:
    assert isinstance(context.answer, StoredSetting), context.answer
    assert context.answer.revision == 2


@then("the settings change is answered as {kind}")
def answer_kind(context: Any, kind: str) -> None:
    assert context.answer.kind is ErrorKind(kind), context.answer


@then("the settings store holds policy at revision 2 with each change audited once")
def hold_second(context: Any) -> None:
    stored, _ = run_paused(read_setting(context.store, "policy"))
    assert stored.revision == 2
    assert stored.value == SECOND
    assert [entry.after for entry in stored.audit] == [SECOND]


@when("two operators change policy from revision 1 at the same moment")
def race_policy(context: Any) -> None:
    # Calls are slow, so that both read before either writes.
    context.store.faults.slow_seconds = 0.01

    async def race() -> Any:
        return await asyncio.gather(
            catch(put_setting(context.store, "policy", SECOND, 1, "first")),
            catch(put_setting(context.store, "policy", THIRD, 1, "second")),
        )

    context.answers = run_paused(race())


@then("one settings change is stored and the other is a conflict that shows both")
def one_stands(context: Any) -> None:
    made = [each for each in context.answers if isinstance(each, StoredSetting)]
    lost = [each for each in context.answers if isinstance(each, Failure)]
    assert len(made) == len(lost) == 1, context.answers
    assert lost[0].kind is ErrorKind.CONFLICT
    assert SECOND in lost[0].detail and THIRD in lost[0].detail
    stored, _ = run_paused(read_setting(context.store, "policy"))
    assert stored.value == made[0].value


def raise_guarantee(guarantees: Guarantees, index: int, more: int) -> Guarantees:
    changed = list(guarantees.guarantees)
    changed[index] = replace(changed[index], count=changed[index].count + more)
    return replace(guarantees, guarantees=tuple(changed))


@when("two operators each raise a guarantee that fits alone at the same moment")
def race_guarantees(context: Any) -> None:
    before = read_example_settings("domeworks")
    # Without one failure domain 128 accelerators remain and 82 are guaranteed: room for
    # four more workers once, but not twice.
    context.raises = [raise_guarantee(before.guarantees, i, 4) for i in (0, 2)]
    for change in context.raises:
        assert check_change(before, "guarantees", encode_text(change)) == ()
    both = raise_guarantee(context.raises[0], 2, 4)
    assert check_change(before, "guarantees", encode_text(both))

    context.store.faults.slow_seconds = 0.01

    async def race() -> Any:
        changes = [
            catch(put_setting(context.store, "guarantees", encode_text(each), 1, ACTOR))
            for each in context.raises
        ]
        return await asyncio.gather(*changes)

    context.answers = run_paused(race())


@then("only one raise is stored and the stored guarantees fit the fleet")
def one_raise(context: Any) -> None:
    lost = [each for each in context.answers if isinstance(each, Failure)]
    assert [each.kind for each in lost] == [ErrorKind.CONFLICT]
    stored, _ = run_paused(read_setting(context.store, "guarantees"))
    assert msgspec.json.decode(stored.value, type=Guarantees) in context.raises
    before = read_example_settings("domeworks")
    assert check_change(before, "guarantees", stored.value) == ()


@when("policy is changed {count:d} times while every third writer dies")
def change_often(context: Any, count: int) -> None:
    async def change() -> None:
        for i in range(count):
            value = encode_text(Policy(queue_limit=100 + i))
            context.store.dying = i % 3 == 0
            try:
                await put_setting(context.store, "policy", value, 1 + i, ACTOR)
            except Dies:
                context.store.dying = False
                await put_setting(context.store, "policy", value, 1 + i, ACTOR)

    run_paused(change())


@then("the history of policy shows {count:d} revisions once with before and after")
def show_history(context: Any, count: int) -> None:
    async def read() -> list[Any]:
        entries, before = [], None
        while True:
            page = await read_history(context.store, "policy", before, limit=7)
            entries += page.entries
            before = page.next_before
            if before is None:
                return entries

    entries = run_paused(read())
    revisions = [entry.revision for entry in entries]
    assert revisions == list(range(count + 1, 1, -1)), revisions
    for newer, older in itertools.pairwise(entries):
        assert newer.before == older.after


@when("the team archive-captions is removed and put back")
def remove_and_put_back(context: Any) -> None:
    path = "teams/archive-captions"

    async def work() -> None:
        context.follower = make_follower(context.store, "follower")
        task = asyncio.create_task(context.follower.run())
        await context.follower.wait_for_first()
        value = context.follower.settings.find_team("archive-captions")
        await put_setting(context.store, path, "", 1, ACTOR)
        await context.follower.wait_for_change()
        assert context.follower.settings.find_team("archive-captions") is None
        await put_setting(context.store, path, encode_text(value), 2, ACTOR)
        await context.follower.wait_for_change()
        task.cancel()

    run_paused(work())


@then("a follower that saw it before shows it again")
def show_again(context: Any) -> None:
    assert context.follower.settings.find_team("archive-captions") is not None
    assert context.follower.revisions["teams/archive-captions"] == 3
