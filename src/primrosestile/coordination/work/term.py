"""One process's ownership: its fence, and until when it may give orders.

The lease is counted from the moment before a renewal was sent, on a clock that includes
suspension: an owner that was paused past its lease must detect that before its next
order, since another process may schedule by then. Orders under an old fence do nothing
on a worker that has seen the newer one, but a worker may not have seen it yet.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import structlog

from primrosestile.coordination.work.keys import OWNER_KEY
from primrosestile.protocol.store import Entry

# A dead owner is replaced this long after its last renewal, which delays urgent work
# that arrives meanwhile. The platform grants no lease under a second.
LEASE_SECONDS = 1.2
# The clocks of two machines differ in speed by up to 2%, and an order takes some
# milliseconds after the check to arrive.
MARGIN_SECONDS = 0.25
# How long after the end of its own lease an owner may go on extending the leases of
# workers, without giving other orders: the store may be down for every process
# (CARE_IS_BOUNDED).
LEASE_GRACE_SECONDS = 8.0
# The age of the newest answered renewal past which the store may be out of reach.
OVERDUE_SECONDS = 0.88

_log = structlog.get_logger()


def find_lease_end(asked_at: float) -> float:
    """Return until when an owner may act after a renewal that was sent at a time."""
    return asked_at + LEASE_SECONDS - MARGIN_SECONDS


def read_suspending_clock() -> float:
    """Return seconds on a clock that also runs while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Term:
    """One process's ownership.

    Attributes:
        fence: Higher than that of every earlier term.
        lease: The lease of the owner's key.
        valid_until: Until when it may act, on the clock that includes suspension.
        lost: Set once the term must end, such as when another owner is known.
        earlier_resignations: How many owners in a row resigned; None while unknown.
        resigned: Set when this owner resigned as well.
        renewal_failed: Whether the newest renewal failed.
    """

    fence: int
    lease: int
    valid_until: float
    lost: asyncio.Event
    read_clock: Callable[[], float] = read_suspending_clock
    earlier_resignations: int | None = None
    resigned: bool = False
    renewal_failed: bool = False

    def may_act(self) -> bool:
        """Whether no other process can be the owner yet.

        NO_ORDER_PAST_LEASE: this is checked before every order.
        """
        return not self.lost.is_set() and self.read_clock() < self.valid_until

    def may_extend_leases(self) -> bool:
        """Whether leases of workers may be extended, also for a time past the term.

        The bound matters to the next owner: it counts the runs on a worker that does
        not answer as gone once no earlier owner can have extended its lease any more.
        """
        until = self.valid_until + LEASE_GRACE_SECONDS
        return not self.lost.is_set() and self.read_clock() < until

    @property
    def doubtful(self) -> bool:
        """Whether the store may have stopped answering this process."""
        return self.renewal_failed or self.find_renewal_age() > OVERDUE_SECONDS

    def find_renewal_age(self) -> float:
        """Return the seconds since the newest answered renewal was sent."""
        now = self.read_clock()
        return find_lease_end(now) - self.valid_until

    def check_found(self, found: Iterable[Entry]) -> bool:
        """Return whether a refused change still found our key; if not, end the term.

        Args:
            found: The entries that the store found for the change's conditions, of
                which one was on the owner's key.
        """
        if any(
            entry.key == OWNER_KEY and entry.mod_revision == self.fence
            for entry in found
        ):
            return True
        _log.warning("ownership_found_lost", fence=self.fence)
        self.lost.set()
        return False

    def resign(self) -> None:
        """Resign: end the term, since another process may serve better."""
        self.resigned = True
        self.lost.set()

    def extend(self, asked_at: float) -> None:
        """Record that a renewal that was sent at a time was answered."""
        self.renewal_failed = False
        # Answers overtake one another.
        self.valid_until = max(self.valid_until, find_lease_end(asked_at))
