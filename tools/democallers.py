"""Callers behind a balancer that lags, as the demo plays them.

A caller reaches only entries that the balancer has last seen ready. When its
connection is cut it asks again under the same id, and it comes back when it is
told to; it never makes a new request of the same work.
"""

import asyncio
import itertools
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import msgspec

from tools.demowork import ANSWERED, LOST, REFUSED, UNKNOWN, Piece

BALANCER_SECONDS = 1.0
READY_TIMEOUT_SECONDS = 1.0
POLL_SECONDS = 0.25
PATIENCE_SECONDS = 25.0
ANSWER_TIMEOUT_SECONDS = 20.0
CUT_PAUSE_SECONDS = 0.2
ACCEPTED_STATUS = 202
FINISHED = "finished"
FINAL_STATES = (FINISHED, "failed", "cancelled", "unknown")
NOT_RUN = "not run"


class Balancer:
    """Spreads callers over the entries that were ready when it last looked.

    Attributes:
        entries: Every entry's address, by the name of its VM.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.entries: dict[str, str] = {}
        self._session = session
        self._ready: list[str] = []
        self._turns = itertools.count()

    @property
    def ready(self) -> list[str]:
        """Names of the VMs to which it sends."""
        return list(self._ready)

    async def run(self) -> None:
        """Look at every entry's readiness, again and again."""
        while True:
            await self.look()
            await asyncio.sleep(BALANCER_SECONDS)

    async def look(self) -> None:
        """Look at every entry's readiness once."""
        names = list(self.entries)
        found = await asyncio.gather(*(self._is_ready(name) for name in names))
        self._ready = [name for name, ready in zip(names, found, strict=True) if ready]

    def choose(self) -> str | None:
        """Return the VM that gets the next request."""
        if not self._ready:
            return None
        return self._ready[next(self._turns) % len(self._ready)]

    async def _is_ready(self, name: str) -> bool:
        url = f"http://{self.entries[name]}/readyz"
        timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_SECONDS)
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


@dataclass(frozen=True, slots=True)
class Reply:
    """One answer of an entry."""

    status: int
    body: bytes

    def read_fields(self) -> Mapping[str, Any]:
        """Return the fields of its JSON; none where it is no JSON object."""
        try:
            fields = msgspec.json.decode(self.body)
        except msgspec.MsgspecError:
            return {}
        return fields if isinstance(fields, dict) else {}


class Callers:
    """Sends pieces of work and stays with each until its end is known."""

    def __init__(self, session: aiohttp.ClientSession, balancer: Balancer) -> None:
        self._session = session
        self._balancer = balancer

    async def carry(self, piece: Piece) -> None:
        """Send one piece and follow it to its end."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(piece.at)
        piece.sent_at = loop.time()
        try:
            async with asyncio.timeout(PATIENCE_SECONDS):
                await self._submit(piece)
        except TimeoutError:
            if not piece.outcome:
                piece.outcome = LOST if piece.job_id else UNKNOWN
                piece.detail = piece.detail or "no end within the caller's patience"
        piece.ended_at = loop.time()

    async def _submit(self, piece: Piece) -> None:
        while not piece.outcome:
            reply = await self._send(piece)
            if reply is None:
                await asyncio.sleep(CUT_PAUSE_SECONDS)
            elif reply.status == 200 and not piece.is_job:
                self._check_answer(piece, reply)
            elif reply.status == ACCEPTED_STATUS:
                piece.job_id = reply.read_fields()["job_id"]
                await self._follow(piece)
            else:
                await self._come_back(piece, reply)

    async def _send(self, piece: Piece) -> Reply | None:
        """Send once; None when no entry is ready or the connection was cut."""
        body: dict[str, Any] = {"team": piece.team, "class": piece.job_class.name}
        if piece.is_job:
            body["declared_seconds"] = piece.declared_seconds
            body["payload"] = piece.work_id
        else:
            body["body"] = piece.body
        piece.attempts += 1
        headers = {
            "Authorization": f"Bearer {piece.token}",
            "X-Request-Id": piece.work_id,
            "X-Attempt": str(piece.attempts),
        }
        path = "/v1/jobs" if piece.is_job else "/v1/requests"
        return await self._exchange(
            piece, "POST", path, headers, msgspec.json.encode(body)
        )

    async def _exchange(
        self,
        piece: Piece,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes | None = None,
    ) -> Reply | None:
        vm = self._balancer.choose()
        if vm is None:
            return None
        url = f"http://{self._balancer.entries[vm]}{path}"
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_SECONDS)
        try:
            async with self._session.request(
                method, url, headers=headers, data=body, timeout=timeout
            ) as answer:
                return Reply(answer.status, await answer.read())
        except aiohttp.ClientConnectorError:
            return None
        except (aiohttp.ClientError, OSError, TimeoutError):
            piece.cuts.append(vm)
            return None

    def _check_answer(self, piece: Piece, reply: Reply) -> None:
        expected = f"answer to {piece.work_id}: {piece.body}".encode()
        piece.outcome = ANSWERED if reply.body == expected else LOST
        if reply.body != expected:
            piece.detail = f"another's answer: {reply.body[:80]!r}"

    async def _come_back(self, piece: Piece, reply: Reply) -> None:
        """Wait as long as the refusal says, or take it as the end."""
        fields = reply.read_fields()
        after = fields.get("retry_after")
        piece.detail = f"{reply.status} {fields.get('error')}: {fields.get('detail')}"
        not_run = fields.get("ran") == NOT_RUN
        patient = asyncio.get_running_loop().time() - piece.sent_at < PATIENCE_SECONDS
        if after is not None and patient:
            await asyncio.sleep(after)
            return
        if not not_run and piece.job_class.idempotent and patient:
            await asyncio.sleep(CUT_PAUSE_SECONDS)
            return
        piece.outcome = REFUSED if not_run else UNKNOWN

    async def _follow(self, piece: Piece) -> None:
        headers = {"Authorization": f"Bearer {piece.token}"}
        path = f"/v1/jobs/{piece.job_id}"
        while True:
            reply = await self._exchange(piece, "GET", path, headers)
            if reply is not None and reply.status == 200:
                fields = reply.read_fields()
                state = fields.get("state")
                if state in FINAL_STATES:
                    piece.reasons = [each["code"] for each in fields["history"]]
                    piece.outcome = ANSWERED if state == FINISHED else LOST
                    piece.detail = "" if state == FINISHED else f"ended {state}"
                    return
            await asyncio.sleep(POLL_SECONDS)
