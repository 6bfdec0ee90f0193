"""Shares scarce room among organisations by their weights.

Load: one organisation submits a third of all jobs while room is short. Harm: within a
priority the order is by slack, so the others queue behind whoever submits most. So work
of an organisation that used more than its share lately goes after the others' work of
the same priority, and is stopped before theirs.

The use of an organisation is its dominant share, the largest of its shares of a pool's
processor, memory and accelerators, averaged over time. Its weight is its guarantee.
Nothing waits beside free room for its share, and where one organisation alone waits the
order does not change. An organisation within its guarantee is never over its share.
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
# Smaller uses of organisations that run nothing are forgotten, so that the record stays
# small and is not written while the fleet is idle.
MIN_USE = 0.001
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
        share: Use per weight, as a multiple of the mean of the organisations that wait
            or run in the pool.
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
    # Organisations that ran in each pool at the last update.
    _running: dict[str, set[str]] = field(default_factory=dict)

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
            # An earlier owner's use would be stored again with the present time.
            self.uses = {}
            self.over = {}
            return
        if now - self.updated_at >= UPDATE_SECONDS:
            self._add_use(workers, now)
        self.over = {}
        competing: dict[str, set[str]] = {}
        for unit in waiting:
            organisation = unit.job.submission.organisation
            competing.setdefault(unit.pool, set()).add(organisation)
        competing = {pool: names for pool, names in competing.items() if len(names) > 1}
        if not competing:
            return
        capacities = _sum_capacities(workers)
        for pool, organisations in competing.items():
            if pool in capacities:
                names = organisations | self._running.get(pool, set())
                self._find_over(policy, pool, names, capacities[pool].accelerators)

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
        self._running = {pool: set(running) for pool, running in current.items()}
        uses: Uses = {}
        for pool in {*self.uses, *current}:
            before = self.uses.get(pool, {})
            running = current.get(pool, {})
            averages = {
                name: kept * before.get(name, 0.0) + added * running.get(name, 0.0)
                for name in {*before, *running}
            }
            remembered = {
                name: use
                for name, use in averages.items()
                if use >= MIN_USE or name in running
            }
            if remembered:
                uses[pool] = remembered
        self.uses = uses

    def _find_over(
        self, policy: Policy, pool: str, names: set[str], accelerators: int
    ) -> None:
        """Decide who of the organisations that wait or run is over its share."""
        uses = self.uses.get(pool, {})
        # Weights would be 0 in a pool without accelerators.
        weights = {
            name: find_weight(policy, name, max(1, accelerators)) for name in names
        }
        relative = {name: uses.get(name, 0.0) / weights[name] for name in names}
        mean = sum(relative.values()) / len(relative)
        for name in sorted(names):
            guarantee = policy.guarantees.get(name, 0)
            if accelerators and uses.get(name, 0.0) * accelerators <= guarantee:
                continue
            if relative[name] > TOLERANCE * mean > 0:
                share = relative[name] / mean
                self.over[pool, name] = PoolUse(uses[name], weights[name], share)


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
