"""Decides whether the owner of the fleet can do its work, or should resign.

Renewing the ownership takes a few bytes; the work needs a link and a processor that can
serve the fleet. An owner whose VM can't do the work would otherwise keep the ownership
indefinitely: its lease never ends, jobs are not started, cancellations accepted
elsewhere are never read, and leases of runs lapse. So the owner measures its own work,
and resigns when the work isn't done although the store answers its small calls.

Problems that all processes share must not make the ownership change again and again,
since nothing new starts during a change. Three rules prevent that: no age counts for
longer than the store has answered this process's renewals; each owner serves for a
minimum term before it may resign, half as long again after each resignation before it;
and a process that resigned is the last to run for election, for a pause that grows.
"""

from dataclasses import dataclass
from enum import StrEnum

# Age of the caller requests that were last read. A list or a watch times out after 1 to
# 2 s and is retried 0.2 s later, so at least two have failed in a row. A cancelled job
# may start nothing more after 3 s, and the owner starts nothing after 2 s.
MAX_REQUESTS_AGE_SECONDS = 4.0
# Age of a change of records that is not stored. A write times out after 1.5 s and is
# sent again, so three have failed: with a store that loses a third, one in 27 cases.
MAX_RECORDS_AGE_SECONDS = 5.0
# Time without an answered read of the policy. The largest takes 6 s over 2 Mbit/s; what
# an owner can't judge by a recent policy, it doesn't decide.
MAX_POLICY_SILENCE_SECONDS = 8.0
# Time for which the list of workers was too old to decide by. Each read of it times out
# after 1 s and is tried again 0.2 s later, so at least five have failed.
MAX_LIST_SILENCE_SECONDS = 6.5
# Half of the 7 s of a worker's lease: a worker that is silent for that long may lapse
# in as much again, about what a change of owner and its first polls take.
MAX_WORKER_SILENCE_SECONDS = 3.5
# Below this, more workers are silent than one of three failure domains holds, and half
# of all runs are about to lapse.
MIN_HEARD_SHARE = 0.5
# Orders time out after 0.45 s: with the loop this late, their answers are late too.
MAX_LOOP_DELAY_SECONDS = 0.4
# Share of the calls to workers that answered some of our calls meanwhile. An order is
# sent three times; at half, one run of eight is abandoned on a healthy worker.
MAX_UNANSWERED_SHARE = 0.5
# With fewer calls in the counted time, the share of unanswered ones is not used.
MIN_CALLS = 20
# How long a problem must last, so that a short one does not end the ownership.
PROBLEM_HOLD_SECONDS = 1.0
# Minimum term of an owner: its first order is due within 3 s.
MIN_TERM_SECONDS = 4.0
# Factor on the minimum term for each owner that resigned. A change costs about a second
# in which nothing new starts: a tenth of the time after three changes.
MIN_TERM_FACTOR = 1.5
# Up to a minimum term of 45 s; a problem that lasts longer is not one of single VMs.
MAX_TERM_STEPS = 6
# How long a process that resigned is the last to run for election, the first time. An
# owner needs 6 s to detect that it can't do the work; if the pause were not several
# times that, two weak VMs would alternate. Running last costs at most 2 s if no other
# process runs.
CANDIDACY_PAUSE_SECONDS = 20.0
# The pause doubles up to 80 s; a noisy neighbour or a full link lasts no longer.
MAX_PAUSE_DOUBLINGS = 2
# An owner that was healthy for longer than this shows that the fleet can be scheduled:
# longer than its first minimum term plus a worker's silent lease and its end.
HEALTHY_TERM_SECONDS = 20.0


class OwnerProblem(StrEnum):
    """Which part of the owner's work isn't done."""

    REQUESTS = "requests not received"
    RECORDS = "records not written"
    POLICY = "policy not read"
    LIST = "workers not listed"
    WORKERS = "workers not heard"
    CALLS = "calls not answered"
    PROCESSOR = "processor behind"


@dataclass(frozen=True, slots=True)
class OwnerMetrics:
    """The owner's work, as measured at one moment.

    Attributes:
        requests_age: Seconds since all caller requests in the store were last known.
        records_age: Seconds since the oldest change that is not in the store.
        policy_silence: Seconds since an answered read of the policy was sent.
        list_silence: Seconds since the list of workers became too old to decide by.
        workers: Listed workers.
        heard: Those of them that answered within `MAX_WORKER_SILENCE_SECONDS`.
        loop_delay: Mean delay of the event loop, in seconds.
        calls: Calls to workers that answered some of them, in the last seconds.
        unanswered: The share of them that wasn't answered, averaged over the workers.
        store_answers: For how many seconds the store has answered each renewal.
        served: Seconds since the term began.
        loaded: Whether the owner has loaded its state. Before that it has not shown
            that it can schedule.
    """

    requests_age: float
    records_age: float
    workers: int
    heard: int
    loop_delay: float
    calls: int
    unanswered: float
    store_answers: float
    served: float
    loaded: bool = True
    policy_silence: float = 0.0
    list_silence: float = 0.0


def find_problem(work: OwnerMetrics) -> OwnerProblem | None:
    """Return what isn't done though the store answers, or None if all is done."""
    if min(work.requests_age, work.store_answers) > MAX_REQUESTS_AGE_SECONDS:
        return OwnerProblem.REQUESTS
    if min(work.records_age, work.store_answers) > MAX_RECORDS_AGE_SECONDS:
        return OwnerProblem.RECORDS
    if min(work.policy_silence, work.store_answers) > MAX_POLICY_SILENCE_SECONDS:
        return OwnerProblem.POLICY
    if min(work.list_silence, work.store_answers) > MAX_LIST_SILENCE_SECONDS:
        return OwnerProblem.LIST
    if work.store_answers <= MAX_WORKER_SILENCE_SECONDS:
        return None
    if work.heard < work.workers * MIN_HEARD_SHARE:
        return OwnerProblem.WORKERS
    if work.loop_delay > MAX_LOOP_DELAY_SECONDS:
        return OwnerProblem.PROCESSOR
    if work.calls >= MIN_CALLS and work.unanswered > MAX_UNANSWERED_SHARE:
        return OwnerProblem.CALLS
    return None


def find_minimum_term_seconds(resignations: int | None) -> float:
    """Return the minimum term before an owner may resign, in seconds.

    Args:
        resignations: How many earlier owners resigned with no healthy one since; None
            when that is not known, which counts as the maximum.
    """
    steps = (
        MAX_TERM_STEPS if resignations is None else min(resignations, MAX_TERM_STEPS)
    )
    return MIN_TERM_SECONDS * MIN_TERM_FACTOR**steps


def find_candidacy_pause(times: int) -> float:
    """Return for how many seconds a process that resigned runs for election last."""
    return CANDIDACY_PAUSE_SECONDS * 2.0 ** min(max(times - 1, 0), MAX_PAUSE_DOUBLINGS)


class OwnerHealth:
    """Judges the owner's work over time.

    Attributes:
        resignations: As for `find_minimum_term_seconds`.
    """

    def __init__(self) -> None:
        self.resignations: int | None = None
        self._problem_since: float | None = None
        self._healthy_since: float | None = None

    def judge(self, work: OwnerMetrics, now: float) -> OwnerProblem | None:
        """Return why the owner should resign now, or None."""
        problem = find_problem(work)
        if problem is None:
            self._problem_since = None
            if self._healthy_since is None and work.loaded:
                self._healthy_since = now
            return None
        self._healthy_since = None
        if self._problem_since is None:
            self._problem_since = now
        if now - self._problem_since < PROBLEM_HOLD_SECONDS:
            return None
        if work.served < find_minimum_term_seconds(self.resignations):
            return None
        return problem

    def has_recovered(self, now: float) -> bool:
        """Whether the owner was healthy for long enough to clear `resignations`."""
        since = self._healthy_since
        return since is not None and now - since > HEALTHY_TERM_SECONDS
