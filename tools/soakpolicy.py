"""A policy that grows during a soak, and the slow links over which it is read."""

import random
from dataclasses import dataclass

from features.doubles.fleet_world import QUEUES, make_policy

STEPS = 3
# A queue takes about 215 bytes of an answer of the store.
QUEUES_PER_STEP = (700, 1_500)
LINK_BYTES_PER_SECOND = (300_000, 900_000)
BITS_PER_MEGABIT = 1_000_000
# A key that the last version of a grown policy no longer has.
REMOVED_KEY = "key-post"


@dataclass(frozen=True)
class Step:
    """A change of the policy.

    Attributes:
        after: Seconds since the change before.
        queues: Number of queues that it adds.
    """

    after: float
    queues: int


@dataclass(frozen=True)
class Growth:
    """How the policy grows in one run, and who reads it slowly.

    Attributes:
        links: Bytes a second that a slow link carries, by the number of its process.
        stated: Whether the settings of these processes state the link.
    """

    steps: tuple[Step, ...]
    links: dict[int, float]
    stated: bool

    def find_megabits(self, number: int) -> float | None:
        """Return the bandwidth that the settings of a process state."""
        if not self.stated or number not in self.links:
            return None
        return self.links[number] * 8 / BITS_PER_MEGABIT


NO_GROWTH = Growth((), {}, False)


def draw_growth(seed: int, nodes: int, seconds: float) -> Growth:
    """Draw a growth; it leaves the other draws of the seed as they are.

    The first process keeps a fast link: the state of jobs is queried there.
    """
    rng = random.Random(f"growth {seed}")
    slow = rng.sample(range(2, nodes + 1), rng.randint(1, nodes - 1))
    return Growth(
        tuple(
            Step(rng.uniform(0.0, seconds / STEPS), rng.randint(*QUEUES_PER_STEP))
            for _ in range(STEPS)
        ),
        {number: rng.uniform(*LINK_BYTES_PER_SECOND) for number in slow},
        rng.random() < 0.5,
    )


def name_newest_queue(version: int) -> str:
    """Return the name of a queue that a version is the first to have."""
    return f"version-{version}"


def make_grown_policy(version: int, queues: int, removed: bool) -> bytes:
    """Return a policy with this number of queues besides the usual ones.

    Args:
        version: Its version.
        queues: The number of queues.
        removed: Whether `REMOVED_KEY` is removed.
    """
    added = {f"added-{version}-{number}": 1 for number in range(queues)}
    newest = {name_newest_queue(version): 1}
    keys = {"domes": ["key-domes"], "post": [] if removed else [REMOVED_KEY]}
    return make_policy(version, keys=keys, queues=QUEUES | newest | added)
