"""Commands that show the fleet and the guarantees."""

from collections.abc import Iterator
from typing import Any

from primrosestile.programs.cli_client import show_answer
from primrosestile.programs.cli_options import (
    STEWARD_DEFAULT,
    AsJson,
    Steward,
    TokenFile,
)


def fleet(
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Show each cell: free accelerators, waiting jobs and unavailable workers."""
    show_answer(steward, token_file, "/v1/fleet", _describe_fleet, as_json)


def _describe_fleet(found: dict[str, Any]) -> Iterator[str]:
    yield f"{found['workers']} workers, {found['accelerators']} accelerators"
    yield from (_describe_cell(cell) for cell in found["cells"])
    yield from (f"{name} has no owner" for name in found["without_owner"])


def _describe_cell(cell: dict[str, Any]) -> str:
    free = sum(cell["free"].values())
    parts = [
        f"{cell['cell']}: {free} of {cell['accelerators']} accelerators free",
        f"{len(cell['held'])} jobs run",
        f"{len(cell['waiting'])} wait",
        f"fragmentation {cell['fragmentation']:.2f}",
        f"completion {_describe_completion(cell['completion_seconds'])}",
    ]
    unavailable = [
        f"{word}: {', '.join(cell[word])}"
        for word in ("leaving", "quarantined", "unreachable")
        if cell[word]
    ]
    return "; ".join(parts + unavailable)


def _describe_completion(seconds: float | None) -> str:
    if seconds is None:
        return "of no job yet"
    return f"{seconds:.0f} s (median)"


def guarantees(
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Show each organisation's guarantees, and whether all can be held."""
    show_answer(steward, token_file, "/v1/guarantees", _describe_guarantees, as_json)


def _describe_guarantees(found: dict[str, Any]) -> Iterator[str]:
    yield from (_describe_guarantee(each) for each in found["guarantees"])
    yield from (f"can't be held: {reason}" for reason in found["infeasible"])


def _describe_guarantee(each: dict[str, Any]) -> str:
    shape = each["shape"]
    return (
        f"{each['organisation']}: {each['count']} x {shape['accelerators']}"
        f" accelerators in one {shape['adjacency']};"
        f" it holds {each['organisation_holds']} now"
    )
