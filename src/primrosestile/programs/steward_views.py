"""The steward's views: applied settings, the fleet, guarantees, and why a job waits.

The views keep no state. Each one queries the running processes and reports which of
them answered. The list of processes comes from this process's directory, so all views
but that of a job, which reads its record, work during a store outage, when operators
need them most.
"""

import asyncio
import contextlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass
from typing import Any

import msgspec
from aiohttp import web

from primrosestile.coordination.job_table import decode_job, make_job_key
from primrosestile.coordination.settings_follower import SettingsFollower
from primrosestile.decisions.access import require_operator, require_rights
from primrosestile.decisions.guarantees import find_infeasible
from primrosestile.errors import ErrorKind, Failure
from primrosestile.programs.common import answer_json
from primrosestile.programs.reasons import STATE_SENTENCES, describe_reason
from primrosestile.protocol.store import Store
from primrosestile.state.decoding import Undecodable, decode_json
from primrosestile.state.jobs import JobRecord, JobState, ProcessRecord, Reason
from primrosestile.transport.connections import Connections, FailureKinds

ASK_TIMEOUT_SECONDS = 2.0
# Concurrent calls to processes. Each answer is small; the limit prevents a burst when
# the status of a large deployment is read.
MAX_CONCURRENT_CALLS = 32
PLACER = "placer"

ListRecords = Callable[[], Sequence[ProcessRecord]]

_KINDS = FailureKinds(ErrorKind.NO_TARGET, ErrorKind.NO_TARGET)


@dataclass(frozen=True, slots=True)
class ProcessStatus:
    """The settings that one process has applied.

    Attributes:
        behind: The applied revision of each lagging path; 0 for none yet.
    """

    name: str
    program: str
    vm: str
    leaving: bool
    answered: bool
    behind: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class PathStatus:
    """How many processes have applied one path.

    Attributes:
        applied: Number of processes with this revision or a later one.
    """

    path: str
    revision: int
    applied: int
    processes: int


class Views:
    """Handlers that show the current state."""

    def __init__(
        self,
        store: Store,
        follower: SettingsFollower,
        list_records: ListRecords,
        connections: Connections,
    ) -> None:
        self._store = store
        self._follower = follower
        self._list_records = list_records
        self._connections = connections
        self._call_slots = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

    def add_routes(self, app: web.Application) -> None:
        """Add the views to an application."""
        app.router.add_get("/v1/status", self.show_status)
        app.router.add_get("/v1/fleet", self.show_fleet)
        app.router.add_get("/v1/guarantees", self.show_guarantees)
        app.router.add_get("/v1/jobs/{job_id}/explain", self.explain_job)

    async def show_status(self, request: web.Request) -> web.Response:
        """Answer which revisions each process has applied."""
        self._require_operator(request)
        # Another steward may have accepted a change that this one has not read yet.
        with contextlib.suppress(Failure):
            await self._follower.refresh()
        revisions = dict(self._follower.revisions)
        records = self._list_records()
        answers = await self._ask_all(records, "/v1/applied")
        processes = [
            _describe_process(record, answer, revisions)
            for record, answer in zip(records, answers, strict=True)
        ]
        paths = [
            _describe_path(path, revision, processes)
            for path, revision in sorted(revisions.items())
        ]
        everywhere = all(path.applied == path.processes for path in paths)
        return answer_json(
            {"in_force_everywhere": everywhere, "paths": paths, "processes": processes}
        )

    async def show_fleet(self, request: web.Request) -> web.Response:
        """Answer each cell as its owner describes it."""
        self._require_operator(request)
        fleet = self._follower.settings.fleet
        cells = await self._read_cells()
        owned = {cell.get("cell") for cell in cells}
        return answer_json(
            {
                "workers": len(fleet.workers),
                "accelerators": sum(each.accelerators for each in fleet.workers),
                "cells": cells,
                "without_owner": [
                    cell.name for cell in fleet.cells if cell.name not in owned
                ],
            }
        )

    async def show_guarantees(self, request: web.Request) -> web.Response:
        """Answer each guarantee, its use, and whether all guarantees are feasible."""
        self._require_operator(request)
        settings = self._follower.settings
        held = _count_held(await self._read_cells())
        shown = [
            {**asdict(each), "organisation_holds": held.get(each.organisation, 0)}
            for each in settings.guarantees.guarantees
        ]
        return answer_json(
            {
                "guarantees": shown,
                "infeasible": find_infeasible(settings.fleet, settings.guarantees),
            }
        )

    async def explain_job(self, request: web.Request) -> web.Response:
        """Answer a job's state and reasons to its team or an operator."""
        header = request.headers.get("Authorization")
        rights = require_rights(self._follower.settings, header)
        job_id = request.match_info["job_id"]
        entry = await self._store.get(make_job_key(job_id))
        record = None if entry is None else decode_job(entry.value)
        # Another team's job is answered like a missing one, so that callers can't
        # probe for ids.
        if record is None or not rights.may_see(
            record.spec.organisation, record.spec.team
        ):
            raise Failure(ErrorKind.NOT_FOUND, f"there is no job {job_id}")
        # The reason why a job waits changes with each pass over the queue and is not
        # written to the record, so it is read from the owner of the cell.
        waiting = record.state is JobState.ACCEPTED
        now = await self._find_waiting(job_id) if waiting else None
        return answer_json(explain(record, now))

    async def _find_waiting(self, job_id: str) -> Reason | None:
        """Return why a job currently waits; None when no cell reports it."""
        for cell in await self._read_cells():
            if job_id in cell.get("waiting", {}):
                return msgspec.convert(cell["waiting"][job_id], Reason)
        return None

    def _require_operator(self, request: web.Request) -> None:
        require_operator(self._follower.settings, request.headers.get("Authorization"))

    async def _read_cells(self) -> list[dict[str, Any]]:
        records = self._list_records()
        placers = [each for each in records if each.program == PLACER]
        answers = await self._ask_all(placers, "/v1/cells")
        return [cell for answer in answers if answer for cell in answer]

    async def _ask_all(self, records: Sequence[ProcessRecord], path: str) -> list[Any]:
        asks = (self._ask(record, path) for record in records)
        return await asyncio.gather(*asks)

    async def _ask(self, record: ProcessRecord, path: str) -> Any:
        """Return the answer of one process; None when it did not answer."""
        try:
            async with self._call_slots:
                reply = await self._connections.call(
                    record.http, path, b"", ASK_TIMEOUT_SECONDS, _KINDS, method="GET"
                )
            if reply.status != web.HTTPOk.status_code:
                return None
            return decode_json(reply.body)
        except (Failure, Undecodable):
            return None


def _describe_process(
    record: ProcessRecord, answer: Any, revisions: Mapping[str, int]
) -> ProcessStatus:
    applied = answer["revisions"] if answer else {}
    behind = {
        path: applied.get(path, 0)
        for path, revision in revisions.items()
        if applied.get(path, 0) < revision
    }
    return ProcessStatus(
        name=record.name,
        program=record.program,
        vm=record.vm,
        leaving=record.leaving,
        answered=answer is not None,
        behind=behind,
    )


def _describe_path(
    path: str, revision: int, processes: list[ProcessStatus]
) -> PathStatus:
    applied = sum(path not in process.behind for process in processes)
    return PathStatus(path, revision, applied, len(processes))


def _count_held(cells: list[dict[str, Any]]) -> dict[str, int]:
    held: dict[str, int] = {}
    for cell in cells:
        for holding in cell.get("held", ()):
            members = holding["members"]
            count = sum(len(member["accelerators"]) for member in members)
            name = holding["organisation"]
            held[name] = held.get(name, 0) + count
    return held


def explain(record: JobRecord, now: Reason | None = None) -> dict[str, Any]:
    """Return a job's state and each reason as sentences.

    Args:
        record: The stored record.
        now: Why the job currently waits, if known.
    """
    spec = record.spec
    reasons = (*record.history, now) if now else record.history
    return {
        "job_id": spec.job_id,
        "organisation": spec.organisation,
        "team": spec.team,
        "class": spec.job_class,
        "shape": spec.shape,
        "state": record.state,
        "summary": STATE_SENTENCES[record.state],
        "attempt": record.attempt,
        "failures": record.failures,
        "cancel_requested": record.cancel_requested,
        "members": record.members,
        "reasons": [
            {
                "time": reason.time,
                "code": reason.code,
                "sentence": describe_reason(reason),
            }
            for reason in reasons
        ],
    }
