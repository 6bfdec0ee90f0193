from typing import Any

from behave import then
from features.fuzzing.clocks import (
    FAR_SECONDS,
    Call,
    Course,
    check_never_early,
    check_not_late,
    make_courses,
)
from features.fuzzing.running import run_property


@then("{count:d} drawn call sequences with 1 wrong time end no lease early")
def run_early(context: Any, count: int) -> None:
    run_property(check_never_early, make_courses(1), count)


@then("{count:d} drawn call sequences with 2 times far off end no lease early")
def run_far(context: Any, count: int) -> None:
    run_property(check_never_early, make_courses(2, FAR_SECONDS), count)


@then("{count:d} drawn call sequences with 1 wrong time end each lease in time")
def run_late(context: Any, count: int) -> None:
    run_property(check_not_late, make_courses(1), count)


@then("calls at these times end no lease early")
def step_found(context: Any) -> None:
    calls = tuple(
        Call(
            float(row["pause"]),
            0.0,
            0.0,
            0.0,
            float(row["wrong"]),
            row["lost"] == "yes",
        )
        for row in context.table
    )
    check_never_early(Course(1.0, 0.0, calls))
