"""Steps for queries of a job's state over real connections to the store."""

import asyncio
from typing import Any

from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from behave import given, step, then, when
from features.doubles.fleet_world import HOST, make_policy

from primrosestile.clock import read_clock
from primrosestile.coordination.work.job_submissions import JobSubmissions
from primrosestile.coordination.work.keys import make_ended_key
from primrosestile.coordination.work.outage_scope import OutageScope
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.platform.callers import DEADLINE_HEADER
from primrosestile.platform.policy import POLICY_KEY, PlatformPolicies
from primrosestile.platform.store import PlatformStore
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.node_calls import CallerCalls
from primrosestile.state.work import EndedRecord, JobState, encode_record
from primrosestile.transport.connections import Connections
from primrosestile_standin.fleet_http import StoreServer
from primrosestile_standin.fleet_store import FleetStore

JOB_ID = "00000000000000a1"
# The policy is read once in these scenarios.
POLICY_AGE_SECONDS = 60.0


class QueriedStore:
    """A served store, and a process of ours that answers queries from it."""

    def __init__(self) -> None:
        self.runner = asyncio.Runner()
        self.store = FleetStore()
        self.reads = 0
        self.refuses = False
        self.all_silent = False
        self._silent: set[Any] = set()
        self._seen: set[Any] = set()
        self._connections = Connections()
        self.runner.run(self._start())

    async def _start(self) -> None:
        self.store.put(POLICY_KEY, make_policy(1))
        record = EndedRecord(JobState.COMPLETED, "usual", "domes")
        self.store.put(make_ended_key(JOB_ID), encode_record(record))
        app = StoreServer(self.store).make_app()
        app.middlewares.append(self._apply_faults)
        self._server = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._server.setup()
        site = web.TCPSite(self._server, "127.0.0.1", 0)
        await site.start()
        port = self._server.addresses[0][1]
        store = PlatformStore(f"127.0.0.1:{port}", self._connections, link=1000.0)
        policies = PolicyWatch(PlatformPolicies(store), POLICY_AGE_SECONDS, read_clock)
        await policies.refresh()
        scope = OutageScope(None, list, lambda: policies.silent)  # type: ignore[arg-type]
        submissions = JobSubmissions(store, policies, POLICY_KEY)
        self._calls = CallerCalls(submissions, policies, scope, Metrics("node"))

    @web.middleware
    async def _apply_faults(self, request: web.Request, handler: Any) -> Any:
        self.reads += 1
        self._seen.add(request.transport)
        if self.all_silent or request.transport in self._silent:
            await asyncio.sleep(30.0)
        if self.refuses:
            return web.Response(status=503)
        return await handler(request)

    async def open_connections(self, count: int) -> None:
        """Leave idle connections by concurrent queries."""
        await asyncio.gather(*(self.query(2.0) for _ in range(count)))
        assert len(self._seen) == count, len(self._seen)
        self.reads = 0

    def silence_connections(self) -> None:
        """Answer nothing any more on the connections that were opened before."""
        self._silent |= self._seen

    async def query(self, deadline: float) -> web.Response:
        """Return the answer to a query of the job's state."""
        headers = {
            "Host": HOST,
            "Authorization": "Token key-domes",
            DEADLINE_HEADER: f"{deadline * 1000:g}",
        }
        request = make_mocked_request("GET", f"/usual/{JOB_ID}", headers=headers)
        return await self._calls.answer(request)

    def close(self) -> None:
        """Close the process and the store."""

        async def close() -> None:
            await self._connections.close()
            await self._server.cleanup()

        self.runner.run(close())
        self.runner.close()


@given("a process with {count:d} idle connection to a store that knows an ended job")
@given("a process with {count:d} idle connections to a store that knows an ended job")
def step_process(context: Any, count: int) -> None:
    context.queried = QueriedStore()
    context.cleanups.append(context.queried.close)
    context.queried.runner.run(context.queried.open_connections(count))


@when("its idle connections go silent")
def step_silent(context: Any) -> None:
    context.queried.silence_connections()


@when("the store answers nobody")
def step_silent_store(context: Any) -> None:
    context.queried.all_silent = True


@when("the store refuses reads")
def step_refuses(context: Any) -> None:
    context.queried.refuses = True


@when("a caller with a deadline of {deadline:g} s has asked for the job in vain")
def step_in_vain(context: Any, deadline: float) -> None:
    response = context.queried.runner.run(context.queried.query(deadline))
    assert response.status == 504, response.status


@step("{seconds:g} s later another one asks")
def step_later(context: Any, seconds: float) -> None:
    context.queried.runner.run(asyncio.sleep(seconds))


@then(
    "a query of the job with a deadline of {deadline:g} s is {outcome} within"
    " {seconds:g} s"
)
def step_query(context: Any, deadline: float, outcome: str, seconds: float) -> None:
    async def query() -> tuple[web.Response, float]:
        began = read_clock()
        response = await context.queried.query(deadline)
        return response, read_clock() - began

    response, took = context.queried.runner.run(query())
    assert response.status == {"answered": 200, "refused": 503}[outcome], response
    assert took <= seconds, took


@then("it cost at most {count:d} reads")
@then("it cost at most {count:d} read")
def step_cost(context: Any, count: int) -> None:
    assert context.queried.reads <= count, context.queried.reads
