"""At most one run of each non-idempotent request, by a claim in the store.

The claim is written before the first dispatch, and each change is a compare-and-swap on
the state before. A process whose swap fails has lost the claim and sends nothing. The
states, and what another entry may do when the holder has died:

- CLAIMED: nothing was sent. The claim may be taken over, because the old holder
  must still swap it to DISPATCHED before it sends, and that swap now fails.
- DISPATCHED: the request may be at its target. It is never sent again; the answer is
  "outcome unknown", and the claim becomes UNKNOWN.
- NOT_RUN: the request is proved not to have run. It may be claimed again.
- DONE: the answer is stored, so that a caller who lost it gets the whole answer.

All claims that a process makes within an hour share one store lease, which is never
renewed: they expire after about a day, without a call to remove them.
"""

import hashlib
import random
from dataclasses import dataclass, replace
from typing import Protocol

import msgspec
import structlog

from primrosestile.clock import read_clock, read_wall_clock
from primrosestile.coordination.settled_writes import put_settled
from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.store import Entry, Store
from primrosestile.state.decoding import Undecodable, decode_json
from primrosestile.state.jobs import CLAIMS_PREFIX, Claim, ClaimState

# How long a repeated request is recognised. Callers stop retrying within minutes, but a
# batch that is sent again in the morning must still find last night's claims.
CLAIM_LEASE_SECONDS = 26 * 3600
# A new shared lease each hour, so that a claim lapses at most an hour early.
SHARED_LEASE_PERIOD_SECONDS = 3600.0
# Larger answers are not stored: at 40,000 claims a day this limit already allows 640 MB
# in the store, which the platform's service was not sized to exceed.
KEPT_ANSWER_BYTES = 16 * 1024

_log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class HeldClaim:
    """A claim held by this process, and its revision in the store."""

    key: str
    claim: Claim
    revision: int


def compute_fingerprint(job_class: str, body: bytes) -> str:
    """Return a hash that distinguishes a repeated request from another with its id."""
    return hashlib.sha256(job_class.encode() + b"\0" + body).hexdigest()


class HolderCheck(Protocol):
    """Says whether the holder of a claim is still running."""

    def is_alive(self, holder: str) -> bool:
        """Return True unless it is known to have ended."""
        ...


class Claims:
    """Claims of one entry process."""

    def __init__(self, store: Store, holder: str, check: HolderCheck) -> None:
        self._store = store
        self._holder = holder
        self._check = check
        self._lease = 0
        self._lease_until = 0.0
        self._token_source = random.SystemRandom()

    async def _shared_lease(self) -> int:
        now = read_clock()
        if not self._lease or now >= self._lease_until:
            self._lease = await self._store.grant_lease(CLAIM_LEASE_SECONDS)
            self._lease_until = now + SHARED_LEASE_PERIOD_SECONDS
        return self._lease

    def make_token(self) -> str:
        """Return a token that no other write has."""
        return f"{self._token_source.getrandbits(96):024x}"

    async def claim(
        self, organisation: str, request_id: str, fingerprint: str, token: str
    ) -> HeldClaim | Claim:
        """Claim a request, or return the finished claim that answers it.

        Args:
            organisation: Whose request it is.
            request_id: The caller's id.
            fingerprint: Of the class and body.
            token: A new one; `release` finds the claim by it if this call fails.

        Raises:
            Failure: CONFLICT for another body under the same id, IN_PROGRESS
                while another process works on it, OUTCOME_UNKNOWN when it may
                have run, and the store's kinds; nothing was sent by this call.
        """
        key = f"{CLAIMS_PREFIX}{organisation}/{request_id}"
        claim = Claim(
            token=token,
            state=ClaimState.CLAIMED,
            entry=self._holder,
            fingerprint=fingerprint,
            time=read_wall_clock(),
        )
        lease = await self._shared_lease()
        value = msgspec.json.encode(claim)
        swap = await put_settled(self._store, key, value, 0, lease)
        if swap.done:
            return HeldClaim(key, claim, swap.revision)
        if swap.current is None:
            raise Failure(
                ErrorKind.STORE_UNAVAILABLE, "the claim was removed meanwhile"
            )
        return await self._resolve_existing(key, claim, swap.current)

    async def settle_abandoned(
        self, organisation: str, request_id: str
    ) -> Claim | None:
        """Return a request's claim, settled first if its holder ended before sending.

        A claim whose holder ended before the dispatch is first swapped to NOT_RUN,
        since a holder that was only paused could otherwise still dispatch it.
        """
        key = f"{CLAIMS_PREFIX}{organisation}/{request_id}"
        entry = await self._store.get(key)
        if entry is None:
            return None
        claim = _decode_claim(entry)
        if claim.state is ClaimState.CLAIMED and not self._check.is_alive(claim.entry):
            held = HeldClaim(key, claim, entry.mod_revision)
            return (await self.mark_not_run(held)).claim
        return claim

    async def release(
        self, organisation: str, request_id: str, fingerprint: str, token: str
    ) -> None:
        """Set a claim to NOT_RUN if it still has this token.

        The caller must know that nothing was sent under it, or that each target proved
        that it did not run.

        A missing claim may still be in flight: its write was abandoned before the store
        received it. It could arrive later under a live holder and block the id for a
        day. So a NOT_RUN claim is created in its place, and the late write then fails
        its compare.
        """
        key = f"{CLAIMS_PREFIX}{organisation}/{request_id}"
        entry = await self._store.get(key)
        if entry is None:
            settled = Claim(
                token=self.make_token(),
                state=ClaimState.NOT_RUN,
                entry=self._holder,
                fingerprint=fingerprint,
                time=read_wall_clock(),
            )
            value = msgspec.json.encode(settled)
            lease = await self._shared_lease()
            swap = await put_settled(self._store, key, value, 0, lease)
            if swap.done or swap.current is None:
                return
            entry = swap.current
        try:
            claim = _decode_claim(entry)
        except Failure as failure:
            _log.warning("record_unreadable", key=key, reason=failure.detail)
            return
        open_states = (ClaimState.CLAIMED, ClaimState.DISPATCHED)
        if claim.token == token and claim.state in open_states:
            await self.mark_not_run(HeldClaim(key, claim, entry.mod_revision))

    async def claim_job(
        self, organisation: str, request_id: str, fingerprint: str, job_id: str
    ) -> str:
        """Bind a request id to a job id; return the job id that it is bound to.

        Raises:
            Failure: CONFLICT when the request id is bound to another request, and the
                store's kinds.
        """
        key = f"{CLAIMS_PREFIX}{organisation}/{request_id}"
        claim = Claim(
            token=self.make_token(),
            state=ClaimState.DONE,
            entry=self._holder,
            fingerprint=fingerprint,
            target=job_id,
            status=202,
            time=read_wall_clock(),
        )
        lease = await self._shared_lease()
        swap = await put_settled(self._store, key, msgspec.json.encode(claim), 0, lease)
        if swap.done:
            return job_id
        if swap.current is None:
            raise Failure(
                ErrorKind.STORE_UNAVAILABLE, "the claim was removed meanwhile"
            )
        theirs = _decode_claim(swap.current)
        if theirs.fingerprint != fingerprint:
            raise Failure(ErrorKind.CONFLICT, "the id was used for another request")
        return theirs.target

    async def _resolve_existing(
        self, key: str, mine: Claim, entry: Entry
    ) -> HeldClaim | Claim:
        """Take over, answer or refuse, depending on the state of an existing claim."""
        theirs = _decode_claim(entry)
        if theirs.fingerprint != mine.fingerprint:
            raise Failure(ErrorKind.CONFLICT, "the id was used for another request")
        if theirs.state is ClaimState.DONE:
            return theirs
        if theirs.state is ClaimState.UNKNOWN:
            raise Failure(ErrorKind.OUTCOME_UNKNOWN, f"sent to {theirs.target} before")
        if theirs.state is ClaimState.NOT_RUN:
            return await self._take_over(key, mine, entry)
        if self._check.is_alive(theirs.entry):
            raise Failure(ErrorKind.IN_PROGRESS, f"held by {theirs.entry}")
        if theirs.state is ClaimState.CLAIMED:
            return await self._take_over(key, mine, entry)
        unknown = replace(theirs, state=ClaimState.UNKNOWN, token=mine.token)
        await self._swap(HeldClaim(key, theirs, entry.mod_revision), unknown)
        raise Failure(
            ErrorKind.OUTCOME_UNKNOWN, f"{theirs.entry} ended after sending it"
        )

    async def _take_over(self, key: str, mine: Claim, entry: Entry) -> HeldClaim:
        theirs = _decode_claim(entry)
        return await self._swap(HeldClaim(key, theirs, entry.mod_revision), mine)

    async def _swap(self, held: HeldClaim, claim: Claim) -> HeldClaim:
        """Replace a claim by compare-and-swap.

        Raises:
            Failure: IN_PROGRESS when another process has changed it first.
        """
        lease = await self._shared_lease()
        value = msgspec.json.encode(claim)
        swap = await put_settled(self._store, held.key, value, held.revision, lease)
        if not swap.done:
            raise Failure(ErrorKind.IN_PROGRESS, "another process took the claim")
        return HeldClaim(held.key, claim, swap.revision)

    async def mark_dispatched(self, held: HeldClaim, target: str) -> HeldClaim:
        """Record the target; only after this returns may anything be sent."""
        claim = replace(
            held.claim,
            step=held.claim.step + 1,
            state=ClaimState.DISPATCHED,
            target=target,
        )
        return await self._swap(held, claim)

    async def mark_not_run(self, held: HeldClaim) -> HeldClaim:
        """Record that the request is proved not to have run."""
        claim = replace(
            held.claim, token=self.make_token(), state=ClaimState.NOT_RUN, target=""
        )
        return await self._swap(held, claim)

    async def mark_unknown(self, held: HeldClaim) -> None:
        """Record that the request may have run, so that it is never sent again."""
        claim = replace(held.claim, token=self.make_token(), state=ClaimState.UNKNOWN)
        await self._swap(held, claim)

    async def mark_done(self, held: HeldClaim, status: int, answer: str) -> None:
        """Record the answer, if it is small enough to keep."""
        kept = answer if len(answer) <= KEPT_ANSWER_BYTES else ""
        claim = replace(
            held.claim,
            step=held.claim.step + 1,
            state=ClaimState.DONE,
            status=status,
            answer=kept,
        )
        await self._swap(held, claim)


def _decode_claim(entry: Entry) -> Claim:
    """Return a stored claim.

    Raises:
        Failure: OUTCOME_UNKNOWN when it can't be read: the request may have run.
    """
    try:
        claim: Claim = decode_json(entry.value, Claim)
    except Undecodable as error:
        detail = f"the claim can't be read: {error}"
        raise Failure(ErrorKind.OUTCOME_UNKNOWN, detail) from error
    return claim
