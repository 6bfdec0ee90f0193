"""Steps for the fault scenarios in deploy/days and the command that plays them."""

import tomllib
from typing import Any

from behave import then, when
from tools.days import DAYS, Outcome, read_output, read_purpose

PRINTED = {
    "two rules were broken": "rules broken: TWICE 2\nworth 0.645 = whole day\n",
    "nothing was broken": "built in 1.0 s\nworth 0.812 = whole day 0.912\n",
    "the day does not fit": "player: contract health is not open\n",
    "nothing at all": "",
}


@then("each file of deploy/days opens with its purpose and names itself")
def check_days(context: Any) -> None:
    days = sorted(DAYS.glob("*.toml"))
    assert days
    for day in days:
        assert read_purpose(day).endswith("."), day
        assert tomllib.loads(day.read_text())["name"] == day.stem, day


@when("a player prints that {happened}")
def step_printed(context: Any, happened: str) -> None:
    context.outcome = Outcome("site", "day", 1, *read_output(PRINTED[happened]))


@then("the verdict on the day is {verdict}")
def check_verdict(context: Any, verdict: str) -> None:
    outcome = context.outcome
    found = {
        "broken": bool(outcome.broken),
        "left out": bool(outcome.left_out),
        "clean": not outcome.broken and not outcome.left_out,
    }
    assert found == {each: each == verdict for each in found}, outcome
