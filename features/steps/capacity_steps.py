from typing import Any

from behave import then
from tools.capacity import PAGE, make_page


@then("the capacity page equals the one generated from the measured figures")
def check_capacity_page(context: Any) -> None:
    assert PAGE.read_text() == make_page(), "run `python -m tools.capacity --write`"
