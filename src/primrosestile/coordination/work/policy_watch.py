"""Polls the policy and keeps it provably recent.

A process that is cut off from the store must not go on accepting a key that was
revoked meanwhile. So it keeps the time at which the policy was last proved to be the
newest: the moment before a read was sent that returned no newer version. A watch proves
nothing, as it may be silent while versions change. A policy whose proof is older than a
bound is not used; callers are refused at once and told when to retry.

A large version may take longer to arrive over a slow link than the interval between
two reads. No other read is sent meanwhile: it would transfer the same version again,
and both would take twice as long.

A newest version that can't be decoded proves nothing either, since it may revoke a key.
The last readable version stays in force for the rest of its bound; then callers are
refused until there is a readable version. No job could be accepted meanwhile in any
case, as jobs are stored on the condition that their policy is the newest.
"""

import asyncio
import math
from collections.abc import Callable, Collection

import structlog

from primrosestile.clock import read_clock
from primrosestile.coordination.work.term import read_suspending_clock
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.policies import PolicySource, StoredVersion
from primrosestile.protocol.store import Entry
from primrosestile.state.policy import Policy

# Reads within the time for which a proof of the policy holds, since some may fail.
POLLS_PER_PROOF = 3.2
# A read is waited for at most this many times the interval between two.
UNANSWERED_FACTOR = 1.25
# A read takes up to 1 s to fail, twice the interval between two reads.
MAX_IN_FLIGHT = 3
RETRY_SECONDS = 0.2
# A larger version is read anew only when it has changed. Reading this much every 0.5 to
# 0.75 s takes 21 to 32 kB/s, what a VM may use of its link; a check costs the store a
# write.
MAX_REREAD_BYTES = 12_000
# A version of which no part has come for this long is not waited for.
ARRIVING_SECONDS = 0.3

_log = structlog.get_logger()


class PolicyWatch:
    """The newest policy that this process knows, and how recent it is.

    Attributes:
        doubtful: Whether the latest call to the store failed. A write that is sent now
            may go unanswered, and its caller with it, so a read checks first whether
            the store answers again.
        silent: Whether the latest read that failed got no answer at all.
    """

    def __init__(
        self,
        source: PolicySource,
        max_proof_age: float,
        read_steady: Callable[[], float] = read_suspending_clock,
    ) -> None:
        self._source = source
        self._read_steady = read_steady
        self._max_proof_age = max_proof_age
        self._proved_at = 0.0
        self._policy: Policy | None = None
        self._unreadable_revision = 0
        # Size of the newest version read; 0 if its value can't be read.
        self._size = 0
        # When the newest answered read was sent.
        self._answered_at = -math.inf
        # When a call to the store last failed.
        self._failed_at = -math.inf
        # When the latest part of each read that is being answered arrived, by an event
        # that is set at its end.
        self._arriving: dict[asyncio.Event, float] = {}
        # Set when the policy must be read at once.
        self._due = asyncio.Event()
        # Set, and replaced, with each new version and with the end of each read.
        self._changed = asyncio.Event()
        self.doubtful = False
        self.silent = False
        self.loaded = asyncio.Event()

    @property
    def policy(self) -> Policy | None:
        """The newest version known, however old its proof."""
        return self._policy

    def find_pools(self) -> Collection[str] | None:
        """Return the pools of the newest version known; None when there is none."""
        return None if self._policy is None else self._policy.pools.keys()

    @property
    def age(self) -> float:
        """Seconds since the policy was last known to be the newest."""
        return self._read_steady() - self._proved_at

    @property
    def silence(self) -> float:
        """Seconds since the latest answered read was sent, whatever it returned."""
        return self._read_steady() - self._answered_at

    @property
    def recent(self) -> bool:
        """Whether requests may be judged by the policy."""
        return self._policy is not None and self.age < self._max_proof_age

    def require(self) -> Policy:
        """Return the policy to judge a request by.

        Raises:
            Failure: STORE_UNAVAILABLE when it is unknown or not recent enough.
        """
        if self._policy is not None and self.recent:
            return self._policy
        detail = "the policy is not recent"
        if self._unreadable_revision:
            detail += f"; revision {self._unreadable_revision} can't be read"
        raise Failure(ErrorKind.STORE_UNAVAILABLE, detail)

    async def run(self) -> None:
        """Poll the policy until cancelled.

        The next read does not wait for an unanswered one: on a dead connection its
        timeout takes most of the time for which a proof holds.
        """
        async with asyncio.TaskGroup() as tasks:
            in_flight: set[asyncio.Task[bool]] = set()
            while True:
                started = read_clock()
                wait = self._max_proof_age / POLLS_PER_PROOF
                if self._is_arriving():
                    await self._wait_for_arrival()
                    continue
                self._due.clear()
                if len(in_flight) < MAX_IN_FLIGHT:
                    reading = tasks.create_task(self._try_refresh())
                    in_flight.add(reading)
                    reading.add_done_callback(in_flight.discard)
                    await asyncio.wait({reading}, timeout=wait * UNANSWERED_FACTOR)
                    if reading.done() and not reading.result():
                        wait = RETRY_SECONDS
                await self._pause(wait - (read_clock() - started))

    async def _pause(self, seconds: float) -> None:
        """Wait until the next read is due."""
        try:
            async with asyncio.timeout(max(0.0, seconds)):
                await self._due.wait()
        except TimeoutError:
            return

    async def _try_refresh(self) -> bool:
        """Read the policy once; return whether that succeeded."""
        try:
            await self.refresh()
        except Failure as failure:
            _log.warning("policy_not_read", reason=str(failure), age=self.age)
            return False
        return True

    async def refresh(self) -> None:
        """Read the policy once."""
        asked_at = self._read_steady()
        ended = asyncio.Event()
        try:
            version = await self._read_version(
                lambda: self._arriving.update({ended: read_clock()})
            )
        except Failure as failure:
            self.silent = failure.silent
            # An earlier read may fail after a later one was answered.
            if asked_at >= self._answered_at:
                self.record_failure()
            self._notify_waiting()
            raise
        finally:
            self._arriving.pop(ended, None)
            ended.set()
        if asked_at >= self._answered_at:
            self.doubtful = False
            self._answered_at = asked_at
        if version is None:
            return
        if version.entry is not None:
            self.apply_version(version.entry)
        if self._policy is not None and version.revision <= self._policy.revision:
            self._proved_at = max(self._proved_at, asked_at)
            self._notify_waiting()

    async def _read_version(self, on_part: Callable[[], None]) -> StoredVersion | None:
        known = self._known_revision
        if known and not 0 < self._size <= MAX_REREAD_BYTES:
            try:
                return await self._source.read_newer(known, on_part)
            except Failure as failure:
                if failure.silent:
                    raise
                # The store may refuse writes, such as this check, and serve reads.
        return await self._source.read(on_part)

    @property
    def _known_revision(self) -> int:
        """Revision of the newest version read, readable or not; 0 for none."""
        applied = 0 if self._policy is None else self._policy.revision
        return max(applied, self._unreadable_revision)

    def _is_arriving(self) -> bool:
        latest = max(self._arriving.values(), default=-math.inf)
        return read_clock() - latest < ARRIVING_SECONDS

    async def _wait_for_arrival(self) -> None:
        """Wait until the read that is being answered has ended or seems to stall."""
        ended = max(self._arriving, key=lambda each: self._arriving[each])
        try:
            async with asyncio.timeout(ARRIVING_SECONDS):
                await ended.wait()
        except TimeoutError:
            return

    def record_failure(self) -> None:
        """Record that a call to the store has failed."""
        self.doubtful = True
        self._failed_at = read_clock()

    def record_answer(self, asked_at: float) -> None:
        """Record that the store answered a call sent at a time of the loop's clock.

        A failure since then leaves the store in doubt.
        """
        if asked_at >= self._failed_at:
            self.doubtful = False

    async def wait_for_proof(self, seconds: float) -> None:
        """Wait until the policy is recent or a read of it fails, for at most a time."""
        try:
            async with asyncio.timeout(seconds):
                while not self.recent and not self.doubtful:
                    await self._changed.wait()
        except TimeoutError:
            return

    async def wait_for_newer(self, revision: int, seconds: float) -> None:
        """Have the policy read at once, and wait for a version after a revision.

        Raises:
            Failure: STORE_UNAVAILABLE when none has arrived in time.
        """
        self._due.set()
        try:
            async with asyncio.timeout(seconds):
                while self._known_revision <= revision:
                    await self._changed.wait()
        except TimeoutError as error:
            detail = "a newer policy is still arriving"
            raise Failure(ErrorKind.STORE_UNAVAILABLE, detail) from error

    def apply_version(self, entry: Entry) -> None:
        """Apply a version unless a newer one is known.

        Answers overtake one another, and an older version must never come back
        into force.
        """
        if self._policy is not None and entry.mod_revision <= self._policy.revision:
            return
        if entry.mod_revision == self._unreadable_revision:
            return
        self._size = len(entry.value)
        try:
            policy = self._source.decode(entry)
        except Failure as failure:
            self._unreadable_revision = entry.mod_revision
            self._notify_waiting()
            _log.error(
                "policy_not_applied", revision=entry.mod_revision, reason=str(failure)
            )
            return
        self._unreadable_revision = 0
        self._policy = policy
        self.loaded.set()
        self._notify_waiting()
        _log.info(
            "policy_applied",
            version=policy.version,
            revision=policy.revision,
            queues=len(policy.queues),
            keys=len(policy.keys),
            size=len(entry.value),
        )

    def _notify_waiting(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
