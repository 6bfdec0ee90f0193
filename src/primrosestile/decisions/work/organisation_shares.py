"""Shares scarce room among organisations by their weights.

Load: one organisation submits a third of all jobs while room is short. Harm: within a
priority the order is by slack, so the others queue behind whoever submits most. So work
of an organisation that used more than its share lately goes after the others' work of
the same priority, and is stopped before theirs.

The use of an organisation is its dominant share, the largest of its shares of a pool's
processor, memory and accelerators, averaged over time. Its weight is its guarantee.
Nothing waits beside free room for its share, and where one organisation alone waits the
order does not change.
"""

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from primrosestile.decisions.work.guarantee_weights import WeightSwitch, find_weight
from primrosestile.decisions.work.units import Unit, Worker
from primrosestile.state.policy import Policy
from primrosestile.state.scheduling import Switch
from primrosestile.state.work import Need

# Past use counts half after this: about the run time of usual work.
HALF_LIFE_SECONDS = 10.0
# Use above the mean by less than this is no reason to change the order; single jobs
# make that much of a difference.
TOLERANCE = 1.25
# Time between two updates, so that few passes pay for one.
UPDATE_SECONDS = 0.5
# Factor on the cost of stopping work of an organisation that is over its share.
OVER_SHARE_COST_FACTOR = 0.5

# Use by pool and organisation.
Uses = dict[str, dict[str, float]]


@dataclass(frozen=True, slots=True)
class PoolUse:
    """An organisation's use of a pool.

    Attributes:
        use: Its dominant share, averaged over time.
        weight: In accelerators.
        share: Use per weight, as a multiple of the mean of the pool's organisations.
    """

    use: float
    weight: float
    share: float


@dataclass(slots=True)
class OrganisationShares:
    """Use by organisation, and who is over its share.

    Attributes:
        uses: Of each pool, by organisation.
        over: Organisations that are over their shares, by pool.
        updated_at: When `uses` was last updated, on the loop's clock.
    """

    switch: WeightSwitch
    uses: Uses = field(default_factory=dict)
    over: dict[tuple[str, str], PoolUse] = field(default_factory=dict)
    updated_at: float = -math.inf

    def update(
        self,
        policy: Policy,
        workers: Iterable[Worker],
        waiting: Iterable[Unit],
        now: float,
    ) -> None:
        """Add what runs now to the use, and decide who is over its share.

        Args:
            policy: Whose guarantees are the weights.
            workers: With all that runs.
            waiting: All waiting units.
            now: On the loop's clock.
        """
        if not self.switch.is_on(policy):
            self.over = {}
            return
        if now - self.updated_at >= UPDATE_SECONDS:
            self._add_use(workers, now)
        self.over = {}
        competing: dict[str, set[str]] = {}
        for unit in waiting:
            organisation = unit.job.submission.organisation
            competing.setdefault(unit.pool, set()).add(organisation)
        capacities = _sum_capacities(workers)
        for pool, organisations in competing.items():
            if len(organisations) > 1 and pool in capacities:
                accelerators = capacities[pool].accelerators
                self._find_over(policy, pool, organisations, accelerators)

    def is_over(self, unit: Unit) -> bool:
        """Whether a unit's organisation is over its share of the unit's pool."""
        return (unit.pool, unit.job.submission.organisation) in self.over

    def find_cost_factor(self, unit: Unit) -> float:
        """Return the factor on the cost of stopping a unit."""
        return OVER_SHARE_COST_FACTOR if self.is_over(unit) else 1.0

    def restore(self, uses: Mapping[str, Mapping[str, float]], age: float) -> None:
        """Load an earlier owner's use.

        Args:
            uses: As stored.
            age: Seconds since it was stored; a negative one, by a clock that was set
                back, counts as 0. A use that is no share is left out.
        """
        kept = 0.5 ** (max(0.0, age) / HALF_LIFE_SECONDS)
        self.uses = {
            pool: {name: use * kept for name, use in by_name.items() if 0 <= use <= 1}
            for pool, by_name in uses.items()
        }

    def _add_use(self, workers: Iterable[Worker], now: float) -> None:
        elapsed = now - self.updated_at
        kept = 0.5 ** (elapsed / HALF_LIFE_SECONDS) if math.isfinite(elapsed) else 1.0
        added = 1.0 - kept
        self.updated_at = now
        current = _find_dominant_shares(workers)
        uses: Uses = {}
        for pool in {*self.uses, *current}:
            before = self.uses.get(pool, {})
            running = current.get(pool, {})
            uses[pool] = {
                name: kept * before.get(name, 0.0) + added * running.get(name, 0.0)
                for name in {*before, *running}
            }
        self.uses = uses

    def _find_over(
        self, policy: Policy, pool: str, waiting: set[str], accelerators: int
    ) -> None:
        uses = self.uses.get(pool, {})
        relative = {
            name: uses.get(name, 0.0) / find_weight(policy, name, accelerators)
            for name in {*uses, *waiting}
        }
        mean = sum(relative.values()) / len(relative)
        for name in waiting:
            if relative[name] > TOLERANCE * mean > 0:
                weight = find_weight(policy, name, accelerators)
                share = relative[name] / mean
                self.over[pool, name] = PoolUse(uses[name], weight, share)


def make_organisation_shares(switch: Switch) -> OrganisationShares:
    """Return shares without any use so far.

    `Switch.AUTO` means on where the operators' guarantees are uneven.
    """
    return OrganisationShares(WeightSwitch(switch))


def _sum_capacities(workers: Iterable[Worker]) -> dict[str, Need]:
    sums: dict[str, list[int]] = {}
    for worker in workers:
        capacity = worker.entry.capacity
        total = sums.setdefault(worker.entry.pool, [0, 0, 0])
        total[0] += capacity.processor
        total[1] += capacity.memory
        total[2] += capacity.accelerators
    return {pool: Need(*total) for pool, total in sums.items()}


def _find_dominant_shares(workers: Iterable[Worker]) -> Uses:
    workers = list(workers)
    tasks: Counter[tuple[str, str, Need]] = Counter()
    for worker in workers:
        pool = worker.entry.pool
        for member in worker.members.values():
            if not member.unit.step.best_effort:
                organisation = member.unit.job.submission.organisation
                tasks[pool, organisation, member.unit.step.need] += 1
    used: dict[tuple[str, str], list[int]] = {}
    for (pool, organisation, need), count in tasks.items():
        total = used.setdefault((pool, organisation), [0, 0, 0])
        total[0] += count * need.processor
        total[1] += count * need.memory
        total[2] += count * need.accelerators
    capacities = _sum_capacities(workers)
    shares: Uses = {}
    for (pool, organisation), total in used.items():
        capacity = capacities[pool]
        all_of = (capacity.processor, capacity.memory, capacity.accelerators)
        shares.setdefault(pool, {})[organisation] = max(
            taken / there if there else 0.0
            for taken, there in zip(total, all_of, strict=True)
        )
    return shares
