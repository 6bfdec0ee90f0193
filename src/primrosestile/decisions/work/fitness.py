"""Whether the owner of the fleet does its work, or should give it to another process.

Renewing the ownership takes a few bytes; the work takes a link and a processor that
carry the fleet. An owner whose VM can't do the work would keep it for good: jobs wait
that nobody starts, cancellations that were accepted elsewhere are never heard, and what
runs lapses. One would notice by an owner whose lease never ends beside jobs that never
begin. So the owner measures its own work and gives the ownership up when the work isn't
done though the store answers its small calls.

Trouble that all processes share must not make the ownership go round, as each change
costs the time in which nothing new starts. Three things prevent that: no age counts for
longer than the store has answered this process's renewals; each owner serves for a
while before it may give up, half as long again after each ownership given up before it;
and a process that gave up stands last for a pause that grows.
"""

from dataclasses import dataclass
from enum import StrEnum

# Wishes that were not heard for this long. A list or a watch is given up after 1 to 2 s
# and asked again 0.2 s later, so at least two have failed one after another. What was
# cancelled may start nothing more after 3 s, and the owner starts nothing after 2 s.
WISHES_SECONDS = 4.0
# A change of records that does not stand. A write is given up after 1.5 s and sent
# again, so three have failed: of a store that loses a third of them, one in 27 does.
RECORDS_SECONDS = 5.0
# Half of the 7 s of a worker's lease: what is not heard in that time may lapse in as
# much again, about what a change of owner and its first looks take.
WORKER_SECONDS = 3.5
# More of the workers are silent than a failure domain of three holds, and half of what
# runs is about to lapse.
LEAST_HEARD_SHARE = 0.5
# Orders are given up after 0.45 s: with the loop this late their answers are too.
LOOP_SECONDS = 0.4
# Of calls to workers that answered others of our calls meanwhile. An order is sent
# three times; at half, one run of eight is given up though its worker is well.
UNANSWERED_SHARE = 0.5
# Fewer calls than this in the time they are counted over say nothing.
LEAST_CALLS = 20
# How long the same trouble has to last, so that one bad moment changes nothing.
HOLD_SECONDS = 1.0
# How long an owner serves at least: the first order is to come within 3 s.
SERVE_SECONDS = 4.0
# By what the serving grows with each owner that gave up. A change costs about a second
# in which nothing new starts: a tenth of the time after three changes.
SERVE_FACTOR = 1.5
# To 45 s of serving, past which such trouble is no longer one of some VMs.
MOST_SERVE_STEPS = 6
# How long a process that gave up stands last, the first time. It takes an owner 6 s to
# find out that it can't do the work; were the pause not several times that, two poor
# VMs would take turns. Standing last costs no more than 2 s if no other stands.
PAUSE_SECONDS = 20.0
# The pause doubles up to 80 s, past which a neighbour's load or a full link is over.
MOST_PAUSE_DOUBLINGS = 2
# An owner that was sound for this long shows that the fleet can be scheduled: longer
# than it must serve, and the silence of a worker's lease and its end besides.
SOUND_SECONDS = 20.0


class Trouble(StrEnum):
    """Which part of the owner's work isn't done."""

    WISHES = "wishes not heard"
    RECORDS = "records not written"
    WORKERS = "workers not heard"
    CALLS = "calls not answered"
    PROCESSOR = "processor behind"


@dataclass(frozen=True, slots=True)
class Work:
    """How the owner's work goes, as measured at one moment.

    Attributes:
        wishes_age: Seconds since all wishes of that time were known.
        records_age: Seconds since the oldest change that is not in the store.
        workers: How many are listed.
        heard: How many of them answered within `WORKER_SECONDS`.
        loop_delay: How late the event loop is in the mean, in seconds.
        calls: Calls to workers that answered some of them, in the last seconds.
        unanswered: The share of them that wasn't answered, in the mean of the workers.
        store_answers: For how many seconds the store has answered each renewal.
        served: Seconds since the term began.
    """

    wishes_age: float
    records_age: float
    workers: int
    heard: int
    loop_delay: float
    calls: int
    unanswered: float
    store_answers: float
    served: float


def find_trouble(work: Work) -> Trouble | None:
    """Return what isn't done though the store answers, or None for sound work."""
    if min(work.wishes_age, work.store_answers) > WISHES_SECONDS:
        return Trouble.WISHES
    if min(work.records_age, work.store_answers) > RECORDS_SECONDS:
        return Trouble.RECORDS
    if work.store_answers <= WORKER_SECONDS:
        return None
    if work.heard < work.workers * LEAST_HEARD_SHARE:
        return Trouble.WORKERS
    if work.loop_delay > LOOP_SECONDS:
        return Trouble.PROCESSOR
    if work.calls >= LEAST_CALLS and work.unanswered > UNANSWERED_SHARE:
        return Trouble.CALLS
    return None


def find_serving(given_up: int | None) -> float:
    """Return how long an owner serves before it may give up, in seconds.

    Args:
        given_up: How many owners before gave up with none sound since; None when
            that is not known, which counts as many.
    """
    steps = MOST_SERVE_STEPS if given_up is None else min(given_up, MOST_SERVE_STEPS)
    return SERVE_SECONDS * SERVE_FACTOR**steps


def find_pause(times: int) -> float:
    """Return how long a process stands last that gave up so many times, in seconds."""
    return PAUSE_SECONDS * 2.0 ** min(max(times - 1, 0), MOST_PAUSE_DOUBLINGS)


class Fitness:
    """Judges the owner's work again and again.

    Attributes:
        given_up: As for `find_serving`.
    """

    def __init__(self) -> None:
        self.given_up: int | None = None
        self._troubled_since: float | None = None
        self._sound_since: float | None = None

    def judge(self, work: Work, now: float) -> Trouble | None:
        """Return why the ownership should be given up now, or None."""
        trouble = find_trouble(work)
        if trouble is None:
            self._troubled_since = None
            if self._sound_since is None:
                self._sound_since = now
            return None
        self._sound_since = None
        if self._troubled_since is None:
            self._troubled_since = now
        if now - self._troubled_since < HOLD_SECONDS:
            return None
        if work.served < find_serving(self.given_up):
            return None
        return trouble

    def is_proven(self, now: float) -> bool:
        """Whether the work has been sound for long enough to forget what was before."""
        since = self._sound_since
        return since is not None and now - since > SOUND_SECONDS
