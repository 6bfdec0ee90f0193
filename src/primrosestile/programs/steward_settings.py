"""The steward's routes for settings: read, change, history.

A change is checked against the current values in the store and not against this
process's snapshot, which may lag: an operator who stores a fleet through one steward
and its guarantees through another must not get an error that the fleet is missing.
"""

import asyncio
from dataclasses import dataclass
from typing import Any

import msgspec
import structlog
from aiohttp import web

from primrosestile.coordination.audit import PAGE_LIMIT, read_history
from primrosestile.coordination.setting_store import (
    decode_stored,
    encode_stored,
    put_setting,
)
from primrosestile.coordination.settings_follower import SettingsFollower
from primrosestile.decisions.access import require_operator
from primrosestile.decisions.settings_change import (
    check_change,
    describe_excluded_worker,
)
from primrosestile.decisions.settings_check import Fault, check_settings
from primrosestile.errors import ErrorKind, Failure
from primrosestile.programs.answers import read_request_id
from primrosestile.programs.common import answer_json
from primrosestile.protocol.store import Store
from primrosestile.state.decoding import decode_json
from primrosestile.state.settings import AuditEntry

COMMENT_LIMIT = 500
REMOVED = b"null"

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class SettingChange:
    """The body of a change.

    Attributes:
        revision: The path's revision that the change is based on; 0 for none.
        value: The new value; null removes a team, or a failure domain's workers.
    """

    revision: int
    value: msgspec.Raw
    comment: str = ""


@dataclass(frozen=True, slots=True)
class ShownSetting:
    """The current value of one path.

    Attributes:
        stale: Whether the store did not answer, so that the value comes from this
            process's snapshot and may lag.
    """

    path: str
    revision: int
    value: msgspec.Raw
    stale: bool = False


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """The answer to a change.

    Attributes:
        warnings: Faults caused by a concurrent change of another path.
    """

    path: str
    revision: int
    warnings: tuple[Fault, ...] = ()


@dataclass(frozen=True, slots=True)
class RefusedChange:
    """The answer to a change with faults."""

    error: str
    detail: str
    ran: str
    remedy: str
    retry_after: float | None
    request_id: str
    faults: tuple[Fault, ...]


class SettingsPages:
    """Handlers for settings and their history."""

    def __init__(self, store: Store, follower: SettingsFollower) -> None:
        self._store = store
        self._follower = follower

    def add_routes(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_get("/v1/settings", self.show_all)
        app.router.add_get("/v1/settings/{path:.+}", self.show)
        app.router.add_put("/v1/settings/{path:.+}", self.change)
        app.router.add_get("/v1/history/{path:.+}", self.show_history)

    async def show_all(self, request: web.Request) -> web.Response:
        """Answer every path with its revision and value."""
        require_operator(self._follower.settings, request.headers.get("Authorization"))
        stale = await self._refresh_or_stale()
        shown = [self._show(path, stale) for path in sorted(self._follower.values)]
        return answer_json({"settings": shown})

    async def show(self, request: web.Request) -> web.Response:
        """Answer one path with its revision and value."""
        require_operator(self._follower.settings, request.headers.get("Authorization"))
        path = request.match_info["path"]
        stale = await self._refresh_or_stale()
        if path not in self._follower.values:
            raise Failure(ErrorKind.NOT_FOUND, f"there is no setting {path}")
        return answer_json(self._show(path, stale))

    async def change(self, request: web.Request) -> web.Response:
        """Check and store one path."""
        header = request.headers.get("Authorization")
        rights = require_operator(self._follower.settings, header)
        path = request.match_info["path"]
        change = decode_json(await request.read(), SettingChange)
        value = bytes(change.value)
        await self._follower.refresh()
        settings = self._follower.settings
        # In a thread, because a large fleet takes seconds and this process must keep
        # renewing its lease.
        faults = await asyncio.to_thread(
            check_change, settings, path, _decode_text(value)
        )
        if faults:
            return _refuse(faults, read_request_id(request))
        text = "" if value.strip() == REMOVED else _compact(value)
        stored = await put_setting(
            self._store,
            path,
            text,
            change.revision,
            rights.key_name,
            change.comment[:COMMENT_LIMIT],
        )
        self._follower.apply({path: encode_stored(stored)})
        _log.info(
            "setting_changed",
            path=path,
            revision=stored.revision,
            actor=rights.key_name,
        )
        warnings = await self._find_warnings(path)
        return answer_json(AcceptedChange(path, stored.revision, warnings))

    async def show_history(self, request: web.Request) -> web.Response:
        """Answer a page of audit entries, newest first."""
        require_operator(self._follower.settings, request.headers.get("Authorization"))
        path = request.match_info["path"]
        before = _read_number(request, "before")
        limit = _read_number(request, "limit") or PAGE_LIMIT
        page = await read_history(self._store, path, before, limit)
        entries = [_describe_entry(entry) for entry in page.entries]
        return answer_json({"entries": entries, "next_before": page.next_before})

    def _show(self, path: str, stale: bool) -> ShownSetting:
        stored = decode_stored(self._follower.values[path])
        value = stored.value.encode() or REMOVED
        return ShownSetting(path, stored.revision, msgspec.Raw(value), stale)

    async def _refresh_or_stale(self) -> bool:
        try:
            await self._follower.refresh()
        except Failure:
            return True
        return False

    async def _find_warnings(self, path: str) -> tuple[Fault, ...]:
        """Check again after a change, because two paths can't be swapped atomically.

        A fleet may lose a rack while another operator raises guarantees or adds a
        worker to that rack; each change is checked against the other's old value. The
        steward that checks last sees both changes and warns its operator.
        """
        try:
            await self._follower.refresh()
        except Failure:
            return ()
        settings = self._follower.settings
        faults = await asyncio.to_thread(check_settings, settings, path)
        excluded_workers = self._follower.excluded_workers
        faults += tuple(describe_excluded_worker(each) for each in excluded_workers)
        if faults:
            _log.error("settings_disagree", faults=[each.path for each in faults])
        return faults


def _refuse(faults: tuple[Fault, ...], request_id: str) -> web.Response:
    failure = Failure(ErrorKind.INVALID_SETTINGS)
    answer = failure.answer
    body = RefusedChange(
        error=failure.kind.value,
        detail=f"{len(faults)} faults",
        ran=answer.ran.value,
        remedy=answer.remedy,
        retry_after=None,
        request_id=request_id,
        faults=faults,
    )
    return answer_json(body, answer.status)


def _decode_text(value: bytes) -> str:
    return value.decode("utf-8", "replace")


def _compact(value: bytes) -> str:
    return msgspec.json.encode(decode_json(value)).decode()


def _read_number(request: web.Request, name: str) -> int | None:
    text = request.query.get(name)
    if text is None:
        return None
    if not text.isdecimal() or len(text) > len("2147483647"):
        raise Failure(ErrorKind.MALFORMED, f"{name} must be a whole number")
    return int(text)


def _describe_entry(entry: AuditEntry) -> dict[str, Any]:
    return {
        "revision": entry.revision,
        "actor": entry.actor,
        "time": entry.time,
        "comment": entry.comment,
        "before": msgspec.Raw(entry.before.encode() or REMOVED),
        "after": msgspec.Raw(entry.after.encode() or REMOVED),
    }
