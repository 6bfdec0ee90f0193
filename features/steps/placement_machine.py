"""Stateful fuzzing of one tiny cell against a brute-force oracle."""

from collections import Counter
from typing import Any

from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from placement_oracle import can_keep_by_some_charge, is_shaped

from primrosestile.decisions.cell import CellView, Demand, Holding
from primrosestile.decisions.guarantees import is_reclaimable
from primrosestile.decisions.placement import (
    Decision,
    Placed,
    Reclaim,
    decide_placement,
)
from primrosestile.state.fleet import Worker
from primrosestile.state.tenancy import Adjacency, Policy, Shape, Urgency

ORGANISATIONS = ("north", "south", "east")
SETTINGS = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=14,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
SHAPES = st.one_of(
    st.builds(Shape, st.integers(1, 3), st.just(Adjacency.WORKER)),
    st.builds(Shape, st.integers(2, 6), st.just(Adjacency.RACK)),
    st.builds(Shape, st.integers(1, 4), st.just(Adjacency.CELL)),
)
PROMISES = st.lists(
    st.tuples(st.sampled_from(ORGANISATIONS), SHAPES), min_size=1, max_size=3
)
RACK_SIZES = st.sampled_from(((2, 2), (3,), (2, 1), (4,)))
DEMANDS: dict[str, Any] = {
    "organisation": st.sampled_from(ORGANISATIONS),
    "shape": SHAPES,
    "urgency": st.sampled_from(Urgency),
    "evictable": st.booleans(),
    "checkpoints": st.booleans(),
}


class CellMachine(RuleBasedStateMachine):
    """Starts, ends and reclaims in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.count = 0
        self.now = 0.0
        self.reclaims: dict[str, Holding] = {}

    @initialize(sizes=RACK_SIZES, capacity=st.sampled_from((2, 3)), promises=PROMISES)
    def make_cell(
        self, sizes: tuple[int, ...], capacity: int, promises: list[tuple[str, Shape]]
    ) -> None:
        self.workers = [
            Worker(f"w{rack}-{each}", f"r{rack}", "", accelerators=capacity)
            for rack, size in enumerate(sizes)
            for each in range(size)
        ]
        self.capacity = tuple(capacity for _ in self.workers)
        names = list(dict.fromkeys(worker.rack for worker in self.workers))
        self.racks = [
            [index for index, each in enumerate(self.workers) if each.rack == name]
            for name in names
        ]
        kept: list[tuple[str, Shape]] = []
        for promise in promises:
            if can_keep_by_some_charge(self.capacity, self.racks, [*kept, promise], []):
                kept.append(promise)
        self.view = CellView(self.workers, kept)

    @rule(**DEMANDS)
    def ask(self, **fields: Any) -> None:
        self.decide(**fields)

    @rule(data=st.data(), evictable=st.booleans(), urgency=st.sampled_from(Urgency))
    def ask_for_guarantee(
        self, data: st.DataObject, evictable: bool, urgency: Urgency
    ) -> None:
        """What is promised and not in use comes at once."""
        if not self.view.promised or not all(self.view.usable):
            return
        owner, shape = data.draw(st.sampled_from(self.view.promised))
        must_come = self.is_owed(owner, shape)
        decision = self.decide(
            organisation=owner,
            shape=shape,
            urgency=urgency,
            evictable=evictable,
            checkpoints=False,
        )
        if must_come:
            assert isinstance(decision, Placed | Reclaim), decision

    def is_owed(self, owner: str, shape: Shape) -> bool:
        held = self.view.list_held_by(owner)
        own = [each for name, each in self.view.promised if name == owner]
        whole_units = Counter([*(each.shape for each in held), shape])
        if not whole_units - Counter(own):
            return True
        total = sum(each.accelerators for each in own)
        used = sum(each.accelerators for each in held) + shape.accelerators
        return used <= total and all(
            each.evictable and each.job_id not in self.view.incoming for each in held
        )

    @precondition(lambda self: self.view.holdings)
    @rule(data=st.data())
    def end(self, data: st.DataObject) -> None:
        job_id = data.draw(st.sampled_from(sorted(self.view.holdings)))
        self.view.release(job_id)
        self.finish_reclaims()

    @precondition(lambda self: self.reclaims)
    @rule(data=st.data())
    def stop_victims(self, data: st.DataObject) -> None:
        job_id = data.draw(st.sampled_from(sorted(self.reclaims)))
        victims = [
            victim
            for victim, incoming in self.view.stopping.items()
            if job_id in incoming
        ]
        for victim in victims:
            self.view.release(victim)
        self.finish_reclaims()

    @precondition(lambda self: self.reclaims)
    @rule(data=st.data())
    def give_up(self, data: st.DataObject) -> None:
        job_id = data.draw(st.sampled_from(sorted(self.reclaims)))
        del self.reclaims[job_id]
        self.view.cancel_reclaim(job_id)

    def finish_reclaims(self) -> None:
        for job_id, holding in list(self.reclaims.items()):
            if self.view.is_opened(job_id):
                self.view.hold(holding)
                del self.reclaims[job_id]

    def decide(self, **fields: Any) -> Decision:
        self.count += 1
        self.now += 10.0
        job_id = f"j{self.count:03}"
        demand = Demand(
            job_id=job_id,
            team="t",
            job_class="c",
            accepted_at=self.now,
            declared_seconds=10.0,
            **fields,
        )
        decision = decide_placement(self.view, demand, Policy(), self.now)
        if not isinstance(decision, Placed | Reclaim):
            return decision
        holding = Holding(
            job_id=job_id,
            team="t",
            members=decision.members,
            started_at=self.now,
            checkpointed_at=self.now,
            **fields,
        )
        self.check_gang(holding)
        if isinstance(decision, Placed):
            self.view.hold(holding)
            return decision
        for victim in decision.victims:
            assert self.view.holdings[victim].evictable, victim
        self.view.begin_reclaim(holding, decision.victims)
        self.reclaims[job_id] = holding
        return decision

    def check_gang(self, holding: Holding) -> None:
        """A gang is whole, and has the adjacency that it asked for."""
        counts = self.read_counts(holding)
        assert sum(counts) == holding.shape.accelerators, holding
        assert is_shaped(self.capacity, self.racks, counts, holding.shape.adjacency), (
            holding
        )

    def read_counts(self, holding: Holding) -> tuple[int, ...]:
        located = self.view.locate(holding)
        return tuple(located.get(each, 0) for each in range(len(self.workers)))

    def list_pinned(self) -> list[tuple[str, tuple[int, ...]]]:
        held = [each for each in self.view.holdings.values() if not each.evictable]
        return [
            (each.organisation, self.read_counts(each))
            for each in (*held, *self.view.incoming.values())
        ]

    def can_keep(self) -> bool:
        return can_keep_by_some_charge(
            self.capacity, self.racks, self.view.promised, self.list_pinned()
        )

    @invariant()
    def keeps_promises(self) -> None:
        if not hasattr(self, "view") or not all(self.view.usable):
            return
        assert is_reclaimable(self.view)
        assert self.can_keep()

    @invariant()
    def allocations_are_disjoint(self) -> None:
        """Rooms are disjoint, and nothing in them is held for good."""
        if not hasattr(self, "view"):
            return
        allocations = self.view.allocations.read()
        left = [
            capacity if usable else 0
            for capacity, usable in zip(self.capacity, self.view.usable, strict=True)
        ]
        for _, counts in self.list_pinned():
            left = [have - count for have, count in zip(left, counts, strict=True)]
        for allocation in allocations:
            for worker, count in allocation.items():
                left[worker] -= count
                assert count == 0 or left[worker] >= 0, (worker, allocations)

    @invariant()
    def counts_agree(self) -> None:
        if not hasattr(self, "view"):
            return
        taken: list[tuple[str, int]] = []
        for holding in (*self.view.holdings.values(), *self.view.incoming.values()):
            stopping = holding.job_id in self.view.stopping
            for member in () if stopping else holding.members:
                taken += [(member.worker, each) for each in member.accelerators]
        assert len(taken) == len(set(taken))
        for index, bits in enumerate(self.view.free_bits):
            assert bits.bit_count() == self.view.free_counts[index]


class LossMachine(CellMachine):
    """The same, with workers that become unusable and return."""

    @rule(data=st.data(), usable=st.booleans())
    def change_worker(self, data: st.DataObject, usable: bool) -> None:
        worker = data.draw(st.sampled_from(self.workers))
        self.view.set_usable(worker.name, usable)


class RebuildMachine(CellMachine):
    """The same, and at any time the cell is read back from its holdings."""

    @precondition(lambda self: not self.reclaims)
    @rule(data=st.data())
    def rebuild(self, data: st.DataObject) -> None:
        holdings = list(self.view.holdings.values())
        order = data.draw(st.permutations(holdings))
        view = CellView(self.workers, self.view.promised)
        for holding in order:
            view.hold(holding)
        assert view.free == self.view.free
        self.view = view
