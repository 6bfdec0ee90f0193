"""Commands that show the fleet and the guarantees."""

from typing import Any

from primrosestile.programs.cliclient import run_client
from primrosestile.programs.clioptions import (
    STEWARD_DEFAULT,
    AsJson,
    Steward,
    TokenFile,
)
from primrosestile.programs.clioutput import print_lines, print_value, run_command


def fleet(
    as_json: AsJson = False,
    steward: Steward = STEWARD_DEFAULT,
    token_file: TokenFile = None,
) -> None:
    """Show each cell: free accelerators, waiting jobs, workers out of use."""

    def work() -> None:
        found = run_client(
            steward, token_file, lambda client: client.call("GET", "/v1/fleet")
        )
        if as_json:
            print_value(found)
            return
        print_lines(
            [f"{found['workers']} workers, {found['accelerators']} accelerators"]
        )
        print_lines(_describe_cell(cell) for cell in found["cells"])
        print_lines(f"{name} has no owner" for name in found["without_owner"])

    run_command(work, as_json)


def _describe_cell(cell: dict[str, Any]) -> str:
    free = sum(cell["free"].values())
    parts = [
        f"{cell['cell']}: {free} of {cell['accelerators']} accelerators free",
        f"{len(cell['held'])} jobs run",
        f"{len(cell['waiting'])} wait",
        f"fragmentation {cell['fragmentation']:.2f}",
        f"completion {_describe_completion(cell['completion_seconds'])}",
    ]
    out_of_use = [
        f"{word}: {', '.join(cell[word])}"
        for word in ("leaving", "quarantined", "unreachable")
        if cell[word]
    ]
    return "; ".join(parts + out_of_use)


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

    def work() -> None:
        found = run_client(
            steward, token_file, lambda client: client.call("GET", "/v1/guarantees")
        )
        if as_json:
            print_value(found)
            return
        print_lines(_describe_guarantee(each) for each in found["guarantees"])
        print_lines(f"can't be held: {reason}" for reason in found["infeasible"])

    run_command(work, as_json)


def _describe_guarantee(each: dict[str, Any]) -> str:
    shape = each["shape"]
    return (
        f"{each['organisation']}: {each['count']} x {shape['accelerators']}"
        f" accelerators in one {shape['adjacency']};"
        f" it holds {each['organisation_holds']} now"
    )
