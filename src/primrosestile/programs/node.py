"""The process on each VM: accepts jobs from callers, and schedules when elected."""

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable

import structlog
import uvloop
from aiohttp import web

from primrosestile.coordination.work.election import Election
from primrosestile.coordination.work.job_submissions import JobSubmissions
from primrosestile.coordination.work.load_gate import LoadGate
from primrosestile.coordination.work.load_watch import LoadWatch
from primrosestile.coordination.work.outage_scope import OutageScope
from primrosestile.coordination.work.policy_watch import PolicyWatch
from primrosestile.coordination.work.scheduler import Scheduler, run_scheduler
from primrosestile.coordination.work.term import Term
from primrosestile.decisions.work.election_delay import find_election_delay
from primrosestile.platform.advice import PlatformAdvice
from primrosestile.platform.maintenance import PlatformMaintenance
from primrosestile.platform.policy import POLICY_KEY, PlatformPolicies
from primrosestile.platform.rejections import Fault, RejectionLog, Source
from primrosestile.platform.settings import (
    PlatformSettings,
    SettingsError,
    read_settings,
)
from primrosestile.platform.store import PlatformStore
from primrosestile.platform.workers import PlatformWorkerList, PlatformWorkers
from primrosestile.programs.logs import set_up_logs
from primrosestile.programs.metrics import Metrics
from primrosestile.programs.node_calls import CallerCalls
from primrosestile.programs.time_correction import follow_vm_clock
from primrosestile.state.load import LoadSummary
from primrosestile.transport.connections import Connections
from primrosestile.transport.load_views import HttpLoadViews
from primrosestile.transport.owner_views import HttpOwnerViews
from primrosestile.transport.store_views import HttpStoreViews

EXIT_BAD_SETTINGS = 2
# Maximum age of the policy that requests are checked against, as shares of the
# platform's bounds: a version must be in force within 2 s, and a revoked key must be
# refused within 5 s.
POLICY_AGE_APPLY_SHARE = 0.8
POLICY_AGE_REVOKE_SHARE = 0.5
# The balancer stops sending after two failed checks, one second apart; open
# connections are served for the rest of this time.
DRAIN_SECONDS = 2.2
# Time for calls in progress once connections are closed. A call takes 3 s at most;
# together with the drain this stays within the 6 s before SIGKILL.
CLOSE_TIMEOUT_SECONDS = 2.6
# The largest header line that is read. The policy's own limit is not checked.
HEADER_LIMIT_BYTES = 65_536
KEEP_ALIVE_SECONDS = 75.0
# The metrics port of the deploy file.
METRICS_PORT = 9464

_log = structlog.get_logger()


class Node:
    """The parts of one process, wired."""

    def __init__(self, settings: PlatformSettings, metrics: Metrics) -> None:
        self.settings = settings
        bounds = settings.bounds
        self._metrics = metrics
        self._rejections = RejectionLog(self._count_unreadable)
        self._connections = Connections()
        self._store = PlatformStore(
            settings.store_address, self._connections, settings.link, self._rejections
        )
        self._policies = PolicyWatch(
            PlatformPolicies(self._store, self._rejections),
            min(
                bounds.policy_apply_seconds * POLICY_AGE_APPLY_SHARE,
                bounds.key_revoke_seconds * POLICY_AGE_REVOKE_SHARE,
            ),
        )
        self._scheduler: Scheduler | None = None
        self._election = Election(
            self._store,
            settings.name,
            self._run_term,
            election_delay=find_election_delay(*self._vm_resources),
            address=settings.callers_address,
            peer_address=settings.peer_address,
        )
        # Of their own, so that a silent VM does not count as a fault of the path to the
        # store.
        self._peer_connections = Connections()
        scope = OutageScope(
            HttpStoreViews(self._peer_connections),
            self._list_peers,
            lambda: self._policies.silent,
        )
        self._calls = CallerCalls(
            JobSubmissions(
                self._store, self._policies, POLICY_KEY, self._make_load_gate()
            ),
            self._policies,
            scope,
            self._metrics,
            self._find_load,
            lambda: self._election.extends_leases,
        )

    def _make_load_gate(self) -> LoadGate:
        watch = LoadWatch(
            HttpLoadViews(self._peer_connections),
            lambda: (self._election.owner_address, self._election.owner_fence),
            self._find_load,
        )
        return LoadGate(
            watch,
            self.settings.scheduling.load_admission,
            self._metrics.count_refused_under_load,
        )

    def _find_load(self) -> LoadSummary | None:
        """Return the summary of the fleet's load while this process is the owner."""
        return None if self._scheduler is None else self._scheduler.load.find_summary()

    def _list_peers(self) -> set[str]:
        """Return the peer addresses of the owner and the seeds, without our own."""
        known = {self._election.owner_address, *self.settings.seeds}
        return known - {"", self.settings.peer_address}

    @property
    def _vm_resources(self) -> tuple[float, float]:
        """The VM's processor share and link, which set its election delay."""
        return self.settings.processor, self.settings.link

    @property
    def _metrics_address(self) -> str:
        return f"{self.settings.ip}:{METRICS_PORT}"

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        signalled = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, signalled.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_reload)
        callers = await _listen(self._calls.answer, self.settings.callers_address)
        ready = await _listen(self._calls.answer_ready, self.settings.ready_address)
        metrics = await _listen(self._answer_metrics, self._metrics_address)
        peers = None
        if self.settings.peer_address:
            peers = await _listen(self._calls.answer_peer, self.settings.peer_address)
        _log.info(
            "started",
            address=self.settings.callers_address,
            processor=round(self.settings.processor, 2),
            link=self.settings.link,
            stands_after=round(find_election_delay(*self._vm_resources), 2),
        )
        try:
            await self._serve(signalled, callers, ready)
        finally:
            await metrics.cleanup()
            if peers is not None:
                await peers.cleanup()
            await self._connections.close()
            await self._peer_connections.close()
        _log.info("ended")

    async def _serve(
        self,
        signalled: asyncio.Event,
        callers: web.ServerRunner,
        ready: web.ServerRunner,
    ) -> None:
        async with asyncio.TaskGroup() as tasks:
            running = [
                tasks.create_task(self._policies.run()),
                tasks.create_task(self._run_for_election()),
                tasks.create_task(follow_vm_clock()),
            ]
            await signalled.wait()
            await self._end(callers, ready)
            for task in running:
                task.cancel()

    def _log_reload(self) -> None:
        # Only the seeds in the file may change for a running process. Those it was
        # started with are asked only beside the owner, so they may be stale.
        _log.info("settings_reload_asked")

    async def _run_for_election(self) -> None:
        await self._policies.loaded.wait()
        await self._election.run()

    async def _run_term(self, term: Term) -> None:
        scheduler = Scheduler(
            self._store,
            PlatformWorkers(self._connections, self._rejections, self.settings.link),
            PlatformWorkerList(
                self._store,
                self._policies.find_pools,
                self._rejections,
                cordons=self.settings.bounds.cordon_seconds > 0,
            ),
            self._policies,
            term,
            self.settings.bounds.status_retention_seconds,
            self.settings.bounds.max_lease_seconds,
            PlatformAdvice(
                self.settings.advice_address, self._connections, self._rejections
            ),
            PlatformMaintenance(
                self.settings.vm_list_address,
                self.settings.name,
                self._store,
                self._connections,
                self._rejections,
            ),
            HttpOwnerViews(self._peer_connections),
            self.settings.peer_address,
            self.settings.scheduling,
        )
        self._scheduler = scheduler
        try:
            await run_scheduler(scheduler)
        finally:
            self._scheduler = None

    def _count_unreadable(self, source: Source, fault: Fault) -> None:
        labels = {"source": source.value, "fault": fault.value}
        self._metrics.unreadable.inc(labels)

    async def _answer_metrics(self, request: web.BaseRequest) -> web.Response:
        """Answer the metrics, with gauges updated."""
        state = self._metrics.state
        state.set({"name": "policy_age_seconds"}, self._policies.age)
        state.set({"name": "owner"}, float(self._scheduler is not None))
        state.set({"name": "ownerships_given_up"}, float(self._election.resignations))
        if self._scheduler is not None:
            for name, value in self._scheduler.count().items():
                state.set({"name": name}, value)
        body, headers = self._metrics.render(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=dict(headers))

    async def _end(self, callers: web.ServerRunner, ready: web.ServerRunner) -> None:
        """Hand the ownership over while draining, then close."""
        _log.info("ending")
        self._calls.leaving = True
        drain_seconds = min(DRAIN_SECONDS, self.settings.bounds.stop_grace_seconds / 3)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._hand_over(drain_seconds))
            await asyncio.sleep(drain_seconds)
        await callers.cleanup()
        await ready.cleanup()

    async def _hand_over(self, seconds: float) -> None:
        """Resign the ownership; stop trying after `seconds`."""
        try:
            async with asyncio.timeout(seconds):
                await self._election.leave()
        except TimeoutError:
            _log.warning("ownership_not_handed_over", reason="no answer in time")


async def _listen(
    answer: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], address: str
) -> web.ServerRunner:
    host, _, port = address.rpartition(":")
    server = web.Server(
        answer,
        access_log=None,
        max_line_size=HEADER_LIMIT_BYTES,
        max_field_size=HEADER_LIMIT_BYTES,
        keepalive_timeout=KEEP_ALIVE_SECONDS,
    )
    runner = web.ServerRunner(server, shutdown_timeout=CLOSE_TIMEOUT_SECONDS)
    await runner.setup()
    site = web.TCPSite(runner, host, int(port), backlog=1024, reuse_address=True)
    await site.start()
    return runner


def main() -> None:
    """Run the process until SIGTERM or SIGINT."""
    try:
        settings = read_settings()
    except SettingsError as error:
        print(f"settings: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    metrics = Metrics("node")
    set_up_logs(settings.name, count_dropped=metrics.count_dropped_line)
    uvloop.run(Node(settings, metrics).run())


if __name__ == "__main__":
    main()
