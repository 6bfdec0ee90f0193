"""One process's ownership: its fence, and until when it may give orders.

The lease is counted from the moment before a renewal was sent, on a clock that counts
suspension: an owner that was paused past its lease must find that out before it gives
one more order, since another may schedule by then. Orders under an old fence do nothing
on a worker that has seen the newer one, but a worker may not have seen it yet.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

# A dead owner is replaced this long after its last renewal, and urgent work that
# comes meanwhile is late by that. The platform grants no lease under a second.
LEASE_SECONDS = 1.2
# Clocks of two machines run at speeds that differ by up to 2%, and an order is on
# its way for some milliseconds after the check.
MARGIN_SECONDS = 0.25
# The age of the newest answered renewal past which the store may be out of reach.
OVERDUE_SECONDS = 0.88


def find_lease_end(asked_at: float) -> float:
    """Return until when an owner may act by a renewal that was sent at a time."""
    return asked_at + LEASE_SECONDS - MARGIN_SECONDS


def read_suspending_clock() -> float:
    """Return seconds on a clock that goes on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class Term:
    """One process's ownership.

    Attributes:
        fence: Higher than that of every earlier term.
        lease: What the owner's key hangs on.
        valid_until: On the clock that counts suspension.
        lost: Set when another owner is known to stand, or the key is gone.
        given_up_before: How many owners in a row gave up; None while not known.
        given_up: Set when this one gave up as well.
        unrenewed: Whether the newest renewal failed.
    """

    fence: int
    lease: int
    valid_until: float
    lost: asyncio.Event
    read_clock: Callable[[], float] = read_suspending_clock
    given_up_before: int | None = None
    given_up: bool = False
    unrenewed: bool = False

    def may_act(self) -> bool:
        """Whether the store can't have given the fleet to another process yet.

        NO_ORDER_PAST_LEASE: every order asks this first.
        """
        return not self.lost.is_set() and self.read_clock() < self.valid_until

    def may_care(self, seconds: float) -> bool:
        """Whether leases of workers may be extended: some seconds past the term's end.

        The next owner counts on an end of that: what it can't ask it gives up once no
        earlier owner can have extended its lease any more.
        """
        return not self.lost.is_set() and self.read_clock() < self.valid_until + seconds

    @property
    def doubtful(self) -> bool:
        """Whether the store may not answer this process any more."""
        return self.unrenewed or self.find_renewal_age() > OVERDUE_SECONDS

    def find_renewal_age(self) -> float:
        """Return the seconds since the newest renewal that was answered was sent."""
        now = self.read_clock()
        return find_lease_end(now) - self.valid_until

    def give_up(self) -> None:
        """End the term for one that another process may serve better."""
        self.given_up = True
        self.lost.set()

    def extend(self, asked_at: float) -> None:
        """Note the answer to a renewal that was sent at a time."""
        self.unrenewed = False
        # Answers overtake one another.
        self.valid_until = max(self.valid_until, find_lease_end(asked_at))
