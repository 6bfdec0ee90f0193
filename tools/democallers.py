"""The demo's callers, behind a load balancer with stale health checks.

A caller reaches only entries that were ready at the balancer's last check. When its
connection is cut it retries under the same id, and after a refusal it retries when the
answer says; it never sends the same work as a new request.
"""

import asyncio
import itertools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from tools.demowork import ANSWERED, LOST, REFUSED, UNKNOWN, WorkItem

BALANCER_POLL_SECONDS = 1.0
READY_TIMEOUT_SECONDS = 1.0
POLL_SECONDS = 0.25
CALLER_TIMEOUT_SECONDS = 25.0
ANSWER_TIMEOUT_SECONDS = 20.0
RETRY_PAUSE_SECONDS = 0.2
ACCEPTED_STATUS = 202
FINISHED = "finished"
FINAL_STATES = (FINISHED, "failed", "cancelled", "unknown")
NOT_RUN = "not run"


class Balancer:
    """Spreads callers over the entries that were ready at the last health check.

    Attributes:
        entries: Every entry's address, by the name of its VM.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.entries: dict[str, str] = {}
        self._session = session
        self._ready: list[str] = []
        self._counter = itertools.count()

    @property
    def ready(self) -> list[str]:
        """Names of the VMs that get requests."""
        return list(self._ready)

    async def run(self) -> None:
        """Check every entry's readiness at intervals."""
        while True:
            await self.refresh()
            await asyncio.sleep(BALANCER_POLL_SECONDS)

    async def refresh(self) -> None:
        """Check every entry's readiness once."""
        names = list(self.entries)
        found = await asyncio.gather(*(self._is_ready(name) for name in names))
        self._ready = [name for name, ready in zip(names, found, strict=True) if ready]

    def choose(self) -> str | None:
        """Return the VM that gets the next request; None when none is ready."""
        if not self._ready:
            return None
        return self._ready[next(self._counter) % len(self._ready)]

    async def _is_ready(self, name: str) -> bool:
        url = f"http://{self.entries[name]}/readyz"
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


@dataclass(frozen=True, slots=True)
class Response:
    """One answer of an entry."""

    status: int
    body: bytes

    def read_fields(self) -> Mapping[str, Any]:
        """Return the fields of its JSON; empty when it isn't a JSON object."""
        try:
            fields = msgspec.json.decode(self.body)
        except msgspec.MsgspecError:
            return {}
        return fields if isinstance(fields, dict) else {}


class Callers:
    """Sends work items and follows each until its outcome is known."""

    def __init__(self, session: aiohttp.ClientSession, balancer: Balancer) -> None:
        self._session = session
        self._balancer = balancer

    async def run_work_item(self, work_item: WorkItem) -> None:
        """Send one work item and follow it to its outcome."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(work_item.at)
        work_item.sent_at = loop.time()
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
                await self._submit(work_item)
        except TimeoutError:
            if not work_item.outcome:
                work_item.outcome = LOST if work_item.job_id else UNKNOWN
                work_item.detail = (
                    work_item.detail or "no outcome within the caller's timeout"
                )
        work_item.ended_at = loop.time()

    async def _submit(self, work_item: WorkItem) -> None:
        while not work_item.outcome:
            response = await self._send(work_item)
            if response is None:
                await asyncio.sleep(RETRY_PAUSE_SECONDS)
            elif response.status == 200 and not work_item.is_job:
                self._check_answer(work_item, response)
            elif response.status == ACCEPTED_STATUS:
                work_item.job_id = response.read_fields()["job_id"]
                await self._poll_job(work_item)
            else:
                await self._handle_refusal(work_item, response)

    async def _send(self, work_item: WorkItem) -> Response | None:
        """Send one attempt; None when no entry is ready or the connection was cut."""
        body: dict[str, Any] = {
            "team": work_item.team,
            "class": work_item.job_class.name,
        }
        if work_item.is_job:
            body["declared_seconds"] = work_item.declared_seconds
            body["payload"] = work_item.work_id
        else:
            body["body"] = work_item.body
        work_item.attempts += 1
        headers = {
            "Authorization": f"Bearer {work_item.token}",
            "X-Request-Id": work_item.work_id,
            "X-Attempt": str(work_item.attempts),
        }
        path = "/v1/jobs" if work_item.is_job else "/v1/requests"
        return await self._exchange(
            work_item, "POST", path, headers, msgspec.json.encode(body)
        )

    async def _exchange(
        self,
        work_item: WorkItem,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None = None,
    ) -> Response | None:
        vm = self._balancer.choose()
        if vm is None:
            return None
        url = f"http://{self._balancer.entries[vm]}{path}"
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS)
        try:
            async with self._session.request(
                method, url, headers=headers, data=body, timeout=timeout
            ) as answer:
                return Response(answer.status, await answer.read())
        except aiohttp.ClientConnectorError:
            return None
        except (aiohttp.ClientError, OSError, TimeoutError):
            work_item.cut_by.append(vm)
            return None

    def _check_answer(self, work_item: WorkItem, response: Response) -> None:
        expected = f"answer to {work_item.work_id}: {work_item.body}".encode()
        work_item.outcome = ANSWERED if response.body == expected else LOST
        if response.body != expected:
            work_item.detail = f"the answer to other work: {response.body[:80]!r}"

    async def _handle_refusal(self, work_item: WorkItem, response: Response) -> None:
        """Wait as long as the refusal says, or take it as the outcome."""
        fields = response.read_fields()
        after = fields.get("retry_after")
        work_item.detail = (
            f"{response.status} {fields.get('error')}: {fields.get('detail')}"
        )
        not_run = fields.get("ran") == NOT_RUN
        in_time = (
            asyncio.get_running_loop().time() - work_item.sent_at
            < CALLER_TIMEOUT_SECONDS
        )
        if after is not None and in_time:
            await asyncio.sleep(after)
            return
        if not not_run and work_item.job_class.idempotent and in_time:
            await asyncio.sleep(RETRY_PAUSE_SECONDS)
            return
        work_item.outcome = REFUSED if not_run else UNKNOWN

    async def _poll_job(self, work_item: WorkItem) -> None:
        headers = {"Authorization": f"Bearer {work_item.token}"}
        path = f"/v1/jobs/{work_item.job_id}"
        while True:
            response = await self._exchange(work_item, "GET", path, headers)
            if response is not None and response.status == 200:
                fields = response.read_fields()
                state = fields.get("state")
                if state in FINAL_STATES:
                    work_item.reasons = [each["code"] for each in fields["history"]]
                    work_item.outcome = ANSWERED if state == FINISHED else LOST
                    work_item.detail = "" if state == FINISHED else f"ended {state}"
                    return
            await asyncio.sleep(POLL_SECONDS)
