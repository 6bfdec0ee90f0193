from typing import Any

from behave import then

from primrosestile.errors import ANSWERS, ErrorKind, Ran

REACHED_A_TARGET = {
    ErrorKind.TARGET_FAILED,
    ErrorKind.OUTCOME_UNKNOWN,
    ErrorKind.EARLIER_SENDING_UNKNOWN,
    ErrorKind.IN_PROGRESS,
    ErrorKind.ALREADY_DONE,
    ErrorKind.STORE_ANSWER_LOST,
    ErrorKind.DEADLINE_UNKNOWN,
    ErrorKind.LIST_UNAVAILABLE,
    ErrorKind.WORKER_UNREACHABLE,
    ErrorKind.INTERNAL,
}


@then("each error kind has an answer with a status and a remedy")
def check_table(context: Any) -> None:
    assert set(ANSWERS) == set(ErrorKind)
    for kind, answer in ANSWERS.items():
        assert 400 <= answer.status <= 599, kind
        assert answer.remedy.endswith("."), kind


@then("the kinds that may have run are exactly those that reached a target")
def check_ran(context: Any) -> None:
    may = {kind for kind, answer in ANSWERS.items() if answer.ran is Ran.MAY_HAVE_RUN}
    assert may == REACHED_A_TARGET
