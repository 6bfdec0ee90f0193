"""Compare the replies to callers with the workers' ledger."""

from collections import defaultdict
from collections.abc import Iterable
from itertools import pairwise

from failures_world import TASK_LEASE_SECONDS, World
from tools.demoverdict import is_finished, measure_part

from primrosestile_standin.ledger import TaskRun

# On a busy machine a worker's timers and a placer's rounds run late.
ALLOWANCE_SECONDS = 2.0


def group_attempts(runs: Iterable[TaskRun]) -> dict[str, list[TaskRun]]:
    """Return the members of each attempt, by task id."""
    attempts = defaultdict(list)
    for run in runs:
        attempts[run.task_id].append(run)
    return attempts


def check_request(world: World, request_id: str) -> None:
    """Check that a request ran at most once, and not before a "not run"."""
    runs = world.read_requests(request_id)
    assert len(runs) <= 1, runs
    for reply in world.replies[request_id]:
        if reply is not None and reply.not_run:
            assert all(run.start > reply.time for run in runs), (reply, runs)
        if reply is not None and reply.status == 200:
            assert len(runs) == 1, (reply, runs)
            assert reply.body == f"answer to {request_id}: {request_id}".encode()


def check_gang(
    runs: list[TaskRun], size: int, part_bound: float = TASK_LEASE_SECONDS
) -> None:
    """Check that a finished gang ran whole, and finished exactly once."""
    attempts = group_attempts(runs)
    finished = [members for members in attempts.values() if is_finished(members)]
    assert len(finished) == 1, runs
    assert sum(len(run.accelerators) for run in finished[0]) == size, runs
    for members in attempts.values():
        part = measure_part(members, size)
        assert part <= part_bound + ALLOWANCE_SECONDS, (part, members)
    check_attempts_apart(attempts)


def check_attempts_apart(attempts: dict[str, list[TaskRun]]) -> None:
    """Check that no two attempts of a job ran at the same time."""
    spans = sorted(
        (min(run.start for run in members), max(run.end or 0.0 for run in members))
        for members in attempts.values()
    )
    for (_, end), (start, _) in pairwise(spans):
        assert start >= end, attempts
