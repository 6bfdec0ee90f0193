import random
from itertools import combinations, product
from typing import Any

from behave import then
from hypothesis.stateful import run_state_machine_as_test
from placement_machine import SETTINGS, CellMachine, LossMachine, RebuildMachine
from placement_oracle import can_keep

from primrosestile.decisions.guarantee_allocations import Layout, Need, find_allocations
from primrosestile.decisions.guarantees import assign_guarantees, find_infeasible
from primrosestile.state.fleet import Cell, FailureDomain, Fleet, Rack, Worker
from primrosestile.state.tenancy import Adjacency, Guarantee, Guarantees, Shape

SEED = 20_611


def draw_shape(chance: random.Random, most: int) -> Shape:
    adjacency = chance.choice(list(Adjacency))
    limit = 3 if adjacency is Adjacency.WORKER else most
    return Shape(chance.randint(1, limit), adjacency)


@then("for {count:d} tiny cells the allocation search agrees with brute force")
def compare_allocations(context: Any, count: int) -> None:
    chance = random.Random(SEED)
    found = 0
    for _ in range(count):
        sizes = chance.choice(((2, 2), (3,), (4,), (1, 3)))
        racks = []
        for size in sizes:
            start = sum(len(each) for each in racks)
            racks.append(tuple(range(start, start + size)))
        capacity = (chance.choice((2, 3, 4)),) * sum(sizes)
        available = tuple(
            each if chance.random() < 0.6 else chance.randint(0, each)
            for each in capacity
        )
        shapes = [draw_shape(chance, 6) for _ in range(chance.randint(1, 4))]
        layout = Layout(
            capacity,
            tuple(rack for rack, each in enumerate(racks) for _ in each),
            tuple(racks),
        )
        nothing = (0,) * len(capacity)
        expected = can_keep(
            capacity, racks, available, [(shape, nothing) for shape in shapes]
        )
        allocations = find_allocations(
            layout, available, [Need(shape) for shape in shapes]
        )
        assert (allocations is not None) == expected, (layout, available, shapes)
        found += expected
    assert 0.2 * count < found < 0.8 * count, found


@then(
    "no fuzzed sequence of placements leaves a guarantee that brute force cannot keep"
)
def fuzz_cell(context: Any) -> None:
    run_state_machine_as_test(CellMachine, settings=SETTINGS)


@then("no fuzzed sequence with lost workers ends with a guarantee lost for good")
def fuzz_losses(context: Any) -> None:
    run_state_machine_as_test(LossMachine, settings=SETTINGS)


@then("a rebuilt view of each fuzzed cell keeps the same guarantees")
def fuzz_rebuild(context: Any) -> None:
    run_state_machine_as_test(RebuildMachine, settings=SETTINGS)


def draw_fleet(chance: random.Random) -> Fleet:
    domains = ("a", "b", "c")[: chance.choice((2, 3))]
    racks = [
        Rack(f"{domain}{index}", domain)
        for domain in domains
        for index in range(chance.choice((1, 1, 2)))
    ]
    return Fleet(
        tuple(FailureDomain(domain, "region") for domain in domains),
        tuple(racks),
        tuple(
            Cell(
                f"cell-{domain}",
                tuple(rack.name for rack in racks if rack.failure_domain == domain),
            )
            for domain in domains
        ),
        tuple(
            Worker(f"{rack.name}-{index}", rack.name, "", accelerators=2)
            for rack in racks
            for index in range(chance.choice((1, 2)))
        ),
    )


def draw_guarantees(chance: random.Random) -> Guarantees:
    names = ("north", "south")
    return Guarantees(
        names,
        tuple(
            Guarantee(
                chance.choice(names), draw_shape(chance, 4), chance.choice((1, 1, 2))
            )
            for _ in range(chance.randint(1, 2))
        ),
    )


def can_assemble(fleet: Fleet, shapes: list[Shape], lost: set[str]) -> bool:
    """Try every assignment of the shapes to the cells."""
    cells = []
    for cell in fleet.cells:
        workers = [each for each in fleet.workers_of(cell) if each.rack not in lost]
        names = sorted({worker.rack for worker in workers})
        racks = [
            [index for index, each in enumerate(workers) if each.rack == name]
            for name in names
        ]
        cells.append((tuple(each.accelerators for each in workers), racks))
    for choice in product(range(len(cells)), repeat=len(shapes)):
        if all(
            can_keep(
                capacity,
                racks,
                capacity,
                [
                    (shape, (0,) * len(capacity))
                    for shape, chosen in zip(shapes, choice, strict=True)
                    if chosen == index
                ],
            )
            for index, (capacity, racks) in enumerate(cells)
        ):
            return True
    return False


@then(
    "for {count:d} tiny fleets the accepted guarantees are those that brute force "
    "can assemble after each loss"
)
def compare_acceptance(context: Any, count: int) -> None:
    chance = random.Random(SEED)
    accepted = 0
    for _ in range(count):
        fleet = draw_fleet(chance)
        guarantees = draw_guarantees(chance)
        shapes = [
            guarantee.shape
            for guarantee in guarantees.guarantees
            for _ in range(guarantee.count)
        ]
        losses = [set[str](), *({rack.name} for rack in fleet.racks)]
        losses += [
            {each.name for each in fleet.racks if each.failure_domain == domain.name}
            for domain in fleet.failure_domains
        ]
        expected = all(can_assemble(fleet, shapes, lost) for lost in losses)
        faults = find_infeasible(fleet, guarantees)
        assert (not faults) == expected, (fleet, guarantees, faults)
        accepted += expected
        if expected:
            check_assignments(fleet, guarantees)
    assert 0.1 * count < accepted < 0.9 * count, accepted


def check_assignments(fleet: Fleet, guarantees: Guarantees) -> None:
    """Every unit is assigned once, and none to a lost domain."""
    units = sum(guarantee.count for guarantee in guarantees.guarantees)
    names = [domain.name for domain in fleet.failure_domains]
    for lost in [
        frozenset[str](),
        *(frozenset(each) for each in combinations(names, 1)),
    ]:
        assigned = assign_guarantees(fleet, guarantees, lost)
        assert assigned == assign_guarantees(fleet, guarantees, lost)
        assert sum(len(each) for each in assigned.values()) == units
        for name in lost:
            assert not assigned[f"cell-{name}"]
