"""Exchanges digests of cells among placers, and finds lost failure domains.

Every few seconds each placer requests digests from the others. They are soft state that
decides where a waiting job could start earlier and which failure domains are lost; a
mistake costs a needless move or unused capacity, never a guarantee.
"""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.membership import Directory
from primrosestile.decisions.cell_selection import CellSummary
from primrosestile.decisions.poll_intervals import (
    EXCHANGE_SECONDS,
    choose_exchange_seconds,
)
from primrosestile.decisions.settings_view import view_settings
from primrosestile.errors import Failure
from primrosestile.protocol.messages import CellDigest, CellDigests, DigestRequest
from primrosestile.protocol.peers import Peers
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Shape

EXCHANGE_TIMEOUT_SECONDS = 1.0
# A digest counts as fresh for this many request intervals: two requests may be lost.
FRESH_REQUESTS = 3
# A domain counts as lost only after this: re-assigning its guarantees evicts work
# elsewhere, which a partition of a few seconds does not justify.
LOST_AFTER_SECONDS = 10.0

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class _Known:
    digest: CellDigest
    at: float


class DigestTable:
    """The latest digest of each cell, from whichever process."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._handed: Counter[str] = Counter()

    def note_handed(self, cell: str, accelerators: int) -> None:
        """Note a job handed to a cell; the cell's next digest includes it."""
        self._handed[cell] += accelerators

    def merge(self, digests: Iterable[CellDigest]) -> list[CellDigest]:
        """Keep the digests of the newest epochs; return those that were kept.

        Two processes may send digests of a cell while the older owner does not know yet
        that it has lost it.
        """
        now = read_clock()
        kept = []
        for digest in digests:
            known = self._known.get(digest.cell)
            if known is not None and known.digest.epoch > digest.epoch:
                continue
            self._known[digest.cell] = _Known(digest, now)
            self._handed.pop(digest.cell, None)
            kept.append(digest)
        return kept

    def __iter__(self) -> Iterator[CellDigest]:
        return iter([known.digest for known in self._known.values()])

    def find_fresh(self, cell: str, seconds: float) -> CellDigest | None:
        """Return a cell's digest unless it is older than `seconds`."""
        known = self._known.get(cell)
        if known is None or read_clock() - known.at > seconds:
            return None
        return known.digest

    def count_used(self, skipped: Collection[str]) -> Counter[str]:
        """Return the accelerators that each team holds, without some cells."""
        used: Counter[str] = Counter()
        for cell, known in self._known.items():
            if cell not in skipped:
                used.update(known.digest.used)
        return used

    def list_summaries(
        self, settings: Settings, organisation: str, shape: Shape, seconds: float
    ) -> list[CellSummary]:
        """Return what is known of each cell that could ever hold the shape.

        Args:
            settings: Those in force.
            organisation: Whose guarantees count.
            shape: The requested shape.
            seconds: The age above which a digest is stale.
        """
        view = view_settings(settings)
        promised = view.find_guaranteed_shapes()
        return [
            self._summarize(
                name,
                _is_guaranteed(promised.get(name, ()), organisation, shape),
                seconds,
            )
            for name, capacity in view.capacity.items()
            if capacity.can_hold(shape)
        ]

    def _summarize(self, cell: str, promised: bool, seconds: float) -> CellSummary:
        digest = self.find_fresh(cell, seconds)
        if digest is None:
            return CellSummary(cell, {}, 0, promised, fresh=False)
        return CellSummary(
            cell,
            digest.free,
            digest.waiting,
            promised,
            fresh=True,
            sent_accelerators=self._handed[cell],
        )


def _is_guaranteed(
    promises: Iterable[tuple[str, Shape]], organisation: str, shape: Shape
) -> bool:
    return any(
        owner == organisation and promise.accelerators >= shape.accelerators
        for owner, promise in promises
    )


class DigestExchange:
    """Requests digests from the other placers, and finds lost failure domains."""

    def __init__(
        self,
        name: str,
        peers: Peers,
        directory: Directory,
        read_settings: Callable[[], Settings],
    ) -> None:
        self.table = DigestTable()
        self._name = name
        self._peers = peers
        self._directory = directory
        self._read_settings = read_settings
        self._read_own: Callable[[], list[CellDigest]] = list
        self._seconds = EXCHANGE_SECONDS
        self._empty_since: dict[str, float] = {}

    def set_own_digests(self, read_own: Callable[[], list[CellDigest]]) -> None:
        """Set the source of the digests of this process's own cells."""
        self._read_own = read_own

    async def run(self) -> None:
        """Request digests every few seconds until cancelled."""
        while True:
            self.table.merge(self._read_own())
            others = [
                record
                for record in self._directory.records("placer")
                if record.name != self._name
            ]
            self._seconds = choose_exchange_seconds(len(others))
            async with asyncio.TaskGroup() as group:
                for record in others:
                    group.create_task(self._ask(record.peer))
            self._note_empty_domains()
            await asyncio.sleep(self._seconds * random.uniform(0.8, 1.0))

    @property
    def _fresh_seconds(self) -> float:
        return FRESH_REQUESTS * self._seconds

    async def _ask(self, peer: str) -> None:
        try:
            answer = await self._peers.ask(
                peer, DigestRequest(), EXCHANGE_TIMEOUT_SECONDS
            )
        except Failure as failure:
            _log.info("placer_silent", peer=peer, kind=failure.kind.value)
            return
        if isinstance(answer, CellDigests):
            self.table.merge(answer.cells)

    def _note_empty_domains(self) -> None:
        now = read_clock()
        working = self._find_working()
        for domain, works in working.items():
            if works:
                self._empty_since.pop(domain, None)
            else:
                self._empty_since.setdefault(domain, now)

    def _find_working(self) -> Mapping[str, bool]:
        """Return for each domain whether any of its cells may have a usable worker.

        A cell without a fresh digest may be healthy; only an owner that reports no
        usable worker at all is evidence of a loss.
        """
        working: dict[str, bool] = {}
        for cell, domain in view_settings(self._read_settings()).domain_of.items():
            digest = self.table.find_fresh(cell, self._fresh_seconds)
            works = digest is None or bool(digest.free)
            working[domain] = working.get(domain, False) or works
        return working

    def list_summaries(self, organisation: str, shape: Shape) -> list[CellSummary]:
        """Return what is known of each cell that could ever hold a shape."""
        return self.table.list_summaries(
            self._read_settings(), organisation, shape, self._fresh_seconds
        )

    def count_used(self, skipped: Collection[str]) -> Counter[str]:
        """Return the accelerators that each team holds, without some cells."""
        return self.table.count_used(skipped)

    def note_handed(self, cell: str, accelerators: int) -> None:
        """Note a job that was moved to a cell."""
        self.table.note_handed(cell, accelerators)

    def list_lost_domains(self) -> frozenset[str]:
        """Return the failure domains without any usable worker."""
        now = read_clock()
        return frozenset(
            domain
            for domain, since in self._empty_since.items()
            if now - since >= LOST_AFTER_SECONDS
        )
