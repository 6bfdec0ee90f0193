"""Searches for the allocations of many units together.

`guarantee_allocations` finds them for a list of needs. Here are the searches that leave
some units out: those that are lost, or those that a placement does not touch.
"""

from collections.abc import Collection, Mapping, Sequence

from primrosestile.decisions.guarantee_allocations import (
    Allocation,
    Layout,
    Need,
    find_allocations,
)


def find_kept(
    layout: Layout,
    available: Sequence[int],
    needs: Sequence[Need],
    lost: Collection[int],
) -> list[Allocation] | None:
    """Find allocations for the units that are not lost."""
    kept = [unit for unit in range(len(needs)) if unit not in lost]
    found = find_allocations(layout, available, [needs[unit] for unit in kept])
    if found is None:
        return None
    allocations: list[Allocation] = [{} for _ in needs]
    for unit, allocation in zip(kept, found, strict=True):
        allocations[unit] = allocation
    return allocations


def move_touched(
    layout: Layout,
    available: Sequence[int],
    needs: Sequence[Need],
    allocations: Sequence[Allocation],
    unit: int | None,
    counts: Mapping[int, int],
) -> list[Allocation] | None:
    """Move only the allocations that work touches.

    A cell of 1,024 workers has hundreds of units, and work touches two or three of
    them. Searching for all would take most of a second.

    Args:
        layout: The cell's workers.
        available: Accelerators by worker, without the work's.
        needs: Of all units, with the work charged to its unit.
        allocations: Of all units, at present.
        unit: The unit that the work would use, None for no unit.
        counts: The work's accelerators by worker.

    Returns:
        The allocations of all units, None if those that are touched find no room.
    """
    touched = [
        index
        for index, allocation in enumerate(allocations)
        if index == unit or any(allocation.get(worker, 0) for worker in counts)
    ]
    left = list(available)
    for index, allocation in enumerate(allocations):
        if index not in touched:
            for worker, count in allocation.items():
                left[worker] -= count
    found = find_allocations(layout, left, [needs[index] for index in touched])
    if found is None:
        return None
    moved = list(allocations)
    for index, allocation in zip(touched, found, strict=True):
        moved[index] = allocation
    return moved


def keep_most(
    layout: Layout, available: Sequence[int], needs: Sequence[Need]
) -> tuple[list[Allocation], frozenset[int]]:
    """Find allocations for as many units as possible; the others are lost.

    Units in use come first, since non-preemptible work runs in them; then small ones,
    so that most organisations keep theirs.

    Returns:
        An allocation for each unit, empty for lost ones; and the lost units.
    """
    order = sorted(
        range(len(needs)),
        key=lambda unit: (
            not needs[unit].charged,
            needs[unit].shape.accelerators,
            unit,
        ),
    )
    left = list(available)
    allocations: list[Allocation] = [{} for _ in needs]
    lost = set()
    for unit in order:
        found = find_allocations(layout, left, [needs[unit]])
        if found is None:
            lost.add(unit)
            continue
        allocations[unit] = found[0]
        for worker, count in found[0].items():
            left[worker] -= count
    return allocations, frozenset(lost)
