"""Steps for shared reads of the number of waiting jobs."""

import asyncio
import gc
from typing import Any

import structlog
from behave import given, then, when

from primrosestile.coordination.work.pending_counts import PendingCounts
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Page
from primrosestile_standin.fleet_store import FleetStoreClient
from primrosestile_standin.link import Link


class RefusedLists(FleetStoreClient):
    """A client whose lists are refused after a delay in seconds, until it is 0."""

    delay = 0.0

    async def list(self, prefix: str, after: str = "") -> Page:
        """Return one page of the entries under a prefix."""
        if self.delay:
            await asyncio.sleep(self.delay)
            raise Failure(ErrorKind.STORE_UNAVAILABLE, "refused")
        return await super().list(prefix, after)


@given("the store refuses lists after {seconds:g} s")
def step_refused_lists(context: Any, seconds: float) -> None:
    context.client = RefusedLists(context.world.store, "p1", Link())
    context.client.delay = seconds
    context.counts = PendingCounts(context.client)
    context.reported = []

    async def watch_loop() -> None:
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, report: context.reported.append(report["message"])
        )

    context.world.run(watch_loop())


@when("a caller asks for the number of waiting jobs and goes after {seconds:g} s")
def step_ask_and_go(context: Any, seconds: float) -> None:
    async def ask() -> None:
        caller = asyncio.create_task(context.counts.count("usual"))
        await asyncio.sleep(seconds)
        caller.cancel()
        await asyncio.sleep(2.0)

    with structlog.testing.capture_logs() as logs:
        context.world.run(ask())
    context.logs = logs


@when("{count:d} callers ask together for the number of waiting jobs")
def step_ask_together(context: Any, count: int) -> None:
    async def ask() -> None:
        context.answers = await asyncio.gather(
            *(context.counts.count("usual") for _ in range(count)),
            return_exceptions=True,
        )

    with structlog.testing.capture_logs() as logs:
        context.world.run(ask())
    context.logs = logs


def count_failures(context: Any) -> int:
    """Return how often a failed count was logged."""
    return sum(line["event"] == "pending_count_failed" for line in context.logs)


@then("one pending_count_failed is logged")
def step_one_logged(context: Any) -> None:
    assert count_failures(context) == 1, context.logs


@then("each of them gets the failure and no pending_count_failed is logged")
def step_all_fail(context: Any) -> None:
    assert all(isinstance(each, Failure) for each in context.answers), context.answers
    assert count_failures(context) == 0, context.logs


@then("a caller who asks after that is told as soon as the store answers")
def step_next_told(context: Any) -> None:
    context.client.delay = 0.0
    assert context.world.run(context.counts.count("usual")) == 0


@then("the event loop reports no exception")
def step_nothing_reported(context: Any) -> None:
    # A task reports an unretrieved exception when it is collected.
    del context.counts
    gc.collect()
    assert not context.reported, context.reported
