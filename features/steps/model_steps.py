from pathlib import Path
from typing import Any

from behave import then, when
from specification.explore import explore_whole, explore_without
from specification.guards import Guard
from specification.models import MODELS

FOLDER = Path(__file__).resolve().parent.parent / "model"


@when("the {model} model is explored with every guard on")
def step_explore_whole(context: Any, model: str) -> None:
    context.found = explore_whole(MODELS[model])


@when("the {model} model is explored without {guard}")
def step_explore_without(context: Any, model: str, guard: str) -> None:
    assert Guard[guard] in MODELS[model].guards
    context.found = explore_without(MODELS[model], Guard[guard])


@then("the exploration is complete and no property is broken")
def check_holds(context: Any) -> None:
    assert context.found.complete
    assert not context.found.broken, context.found.broken


@then("every witness of the model was reached")
def check_seen(context: Any) -> None:
    assert not context.found.unseen, context.found.unseen


@then("a run breaks the property: {name}")
def check_broken(context: Any, name: str) -> None:
    assert name in context.found.broken, context.found.broken


@then("the models and guards listed in this folder are all there are")
def check_listed(context: Any) -> None:
    listed = read_rows(FOLDER / "guards.feature")
    shown = {(guard.name, name) for name in MODELS for guard in MODELS[name].guards}
    assert {(row[0], row[1]) for row in listed} == shown
    assert {row[0] for row in listed} == {guard.name for guard in Guard}
    explored = {row[0] for row in read_rows(FOLDER / "promises.feature")}
    assert explored == set(MODELS)


def read_rows(path: Path) -> list[list[str]]:
    rows = [line for line in path.read_text().splitlines() if "|" in line]
    return [
        [cell.strip() for cell in row.strip().strip("|").split("|")] for row in rows[1:]
    ]
