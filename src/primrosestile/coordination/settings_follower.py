"""Keeps the settings of one process in force, also while the store fails.

Every decision reads settings, and none may wait for the store. So each process holds
the latest settings snapshot that it received, and keeps it while the store is down, a
watch is silent or answers are late. A value is applied only if its path's revision is
higher than the one in force, from whichever source and in whichever order it arrives.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import replace
from types import MappingProxyType
from typing import Any

import structlog

from primrosestile.coordination.setting_store import decode_stored, encode_stored
from primrosestile.coordination.settled_writes import list_all
from primrosestile.decisions.settings_parts import ExcludedWorker, assemble_fleet
from primrosestile.errors import Failure
from primrosestile.protocol.store import Change, Store
from primrosestile.state.decoding import decode_json
from primrosestile.state.fleet import Fleet, Worker
from primrosestile.state.settings import (
    FLEET_PATH,
    GUARANTEES_PATH,
    POLICY_PATH,
    SETTINGS_PREFIX,
    TEAMS_PREFIX,
    WORKERS_PREFIX,
    Settings,
    StoredSetting,
)
from primrosestile.state.tenancy import Guarantees, Policy, Team

# Delay after a failure: long enough that a recovered store isn't called by every
# process at once, short enough that settings are in force within 11 s.
RETRY_LOW_SECONDS = 0.5
RETRY_HIGH_SECONDS = 3.0
# The whole list is read again after this time without a change, since a watch that was
# dropped by something on the path looks like one without changes.
SILENCE_SECONDS = 60.0
# Excluded workers that a log line names; the rest are usually of the same rack.
MAX_LOGGED_WORKERS = 5

ChangeHandler = Callable[[Settings], None]

_SECTIONS: dict[str, Any] = {
    GUARANTEES_PATH: Guarantees,
    POLICY_PATH: Policy,
}

_FLEET_PATHS = (FLEET_PATH, WORKERS_PREFIX)

log = structlog.get_logger(__name__)


class SettingsFollower:
    """The settings in force in this process, kept up to date by `run`."""

    def __init__(self, store: Store, name: str, chance: random.Random) -> None:
        self._store = store
        self._name = name
        self._chance = chance
        self._settings = Settings()
        self._revisions: dict[str, int] = {}
        self._values: dict[str, bytes] = {}
        self._teams: dict[str, Team] = {}
        self._fleet = Fleet()
        self._workers: dict[str, tuple[Worker, ...]] = {}
        self._excluded_workers: tuple[ExcludedWorker, ...] = ()
        self._handlers: list[ChangeHandler] = []
        self._first = asyncio.Event()
        self._changed = asyncio.Event()

    @property
    def settings(self) -> Settings:
        """The snapshot in force; a new object after each change."""
        return self._settings

    @property
    def excluded_workers(self) -> tuple[ExcludedWorker, ...]:
        """Stored workers that are ignored, since they do not fit the fleet."""
        return self._excluded_workers

    @property
    def revisions(self) -> Mapping[str, int]:
        """The applied revision of each path."""
        return MappingProxyType(self._revisions)

    @property
    def values(self) -> Mapping[str, bytes]:
        """The stored value of each path in force, without audit entries."""
        return MappingProxyType(self._values)

    def add_handler(self, handler: ChangeHandler) -> None:
        """Call `handler` with the new snapshot after each change."""
        self._handlers.append(handler)

    async def wait_for_first(self) -> None:
        """Wait until the settings have been read once, from store or peers."""
        await self._first.wait()

    async def wait_for_change(self) -> Settings:
        """Wait for the next change and return the snapshot after it."""
        changed = self._changed
        await changed.wait()
        return self._settings

    def apply(self, values: Mapping[str, bytes]) -> bool:
        """Apply stored values that are newer; return whether any was.

        A value that can't be read is rejected: it comes from a newer program than this
        one, and the value in force is better than none.
        """
        applied = [path for path, data in values.items() if self._apply(path, data)]
        if not applied:
            return False
        self._settings = replace(
            self._settings,
            teams=tuple(self._teams[path] for path in sorted(self._teams)),
        )
        # Callers index each new fleet object once, and most changes are of other paths.
        if any(path.startswith(_FLEET_PATHS) for path in applied):
            self._assemble_fleet()
        self._announce(applied)
        return True

    def _assemble_fleet(self) -> None:
        fleet, excluded_workers = assemble_fleet(self._fleet, self._workers)
        self._settings = replace(self._settings, fleet=fleet)
        if excluded_workers and excluded_workers != self._excluded_workers:
            shown = [
                f"{each.path}[{each.index}]"
                for each in excluded_workers[:MAX_LOGGED_WORKERS]
            ]
            log.warning("workers_left_out", count=len(excluded_workers), first=shown)
        self._excluded_workers = excluded_workers

    @property
    def is_ready(self) -> bool:
        """Whether the settings have been read once, from store or peers."""
        return self._first.is_set()

    def mark_ready(self) -> None:
        """Mark the settings as complete, as far as any reachable process knows."""
        self._first.set()

    async def run(self) -> None:
        """List and watch until cancelled, again after each failure."""
        while True:
            try:
                await self._follow()
            except Failure as failure:
                log.warning("settings_watch_ended", reason=str(failure))
            delay = self._chance.uniform(RETRY_LOW_SECONDS, RETRY_HIGH_SECONDS)
            await asyncio.sleep(delay)

    async def _follow(self) -> None:
        revision = await self.refresh()
        watch = self._store.watch(SETTINGS_PREFIX, revision)
        async for changes in _read_until_silent(watch, SILENCE_SECONDS):
            self.apply(_collect_values(changes))

    async def refresh(self) -> int:
        """Read every path from the store now; return the store's revision.

        Raises:
            Failure: STORE_UNAVAILABLE; the settings in force stay.
        """
        entries, revision = await list_all(self._store, SETTINGS_PREFIX)
        values = {
            each.key.removeprefix(SETTINGS_PREFIX): each.value for each in entries
        }
        self.apply(values)
        self.mark_ready()
        return revision

    def _apply(self, path: str, data: bytes) -> bool:
        try:
            stored = decode_stored(data)
            if stored.revision <= self._revisions.get(path, 0):
                return False
            self._take_over(path, stored)
        except ValueError as error:
            log.error("settings_unreadable", path=path, reason=str(error))
            return False
        self._revisions[path] = stored.revision
        self._values[path] = encode_stored(replace(stored, audit=()))
        return True

    def _take_over(self, path: str, stored: StoredSetting) -> None:
        if path.startswith(TEAMS_PREFIX):
            self._take_over_team(path, stored)
            return
        if path.startswith(WORKERS_PREFIX):
            domain = path.removeprefix(WORKERS_PREFIX)
            self._workers[domain] = _decode_workers(stored.value)
            return
        if path == FLEET_PATH:
            self._fleet = decode_json(stored.value or "{}", Fleet)
            return
        section = _SECTIONS.get(path)
        if section is None:
            return
        value = decode_json(stored.value or "{}", section)
        self._settings = replace(self._settings, **{path: value})

    def _take_over_team(self, path: str, stored: StoredSetting) -> None:
        if stored.value:
            self._teams[path] = decode_json(stored.value, Team)
        else:
            self._teams.pop(path, None)

    def _announce(self, paths: list[str]) -> None:
        revisions = {path: self._revisions[path] for path in paths}
        log.info("settings_applied", process=self._name, revisions=revisions)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        for handler in self._handlers:
            handler(self._settings)


def make_follower(
    store: Store, name: str, chance: random.Random | None = None
) -> SettingsFollower:
    """Return a follower for the process of that name; run its `run` as a task."""
    return SettingsFollower(store, name, chance or random.Random(name))


def _decode_workers(value: str) -> tuple[Worker, ...]:
    return decode_json(value or "[]", tuple[Worker, ...])


def _collect_values(changes: tuple[Change, ...]) -> dict[str, bytes]:
    """Return the latest value of each changed path.

    A removed key is ignored: operators remove a path by an empty value, so a key that
    was deleted without one is not their change.
    """
    return {
        change.key.removeprefix(SETTINGS_PREFIX): change.entry.value
        for change in changes
        if change.entry is not None
    }


async def _read_until_silent(
    watch: AsyncIterator[tuple[Change, ...]], seconds: float
) -> AsyncIterator[tuple[Change, ...]]:
    while True:
        try:
            async with asyncio.timeout(seconds):
                changes = await anext(watch)
        except (TimeoutError, StopAsyncIteration):
            return
        yield changes
