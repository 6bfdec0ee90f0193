"""Steps for the time of day that a process reads from its VM."""

from dataclasses import dataclass, field
from typing import Any

from behave import given, then, when

from primrosestile.clock import CHECK_INTERVAL_SECONDS, TimeOfDay

TRUE_OFFSET = 1_000_000.0


@dataclass(slots=True)
class Vm:
    """A VM with a clock error, and a process on it.

    Attributes:
        error: Seconds by which the VM's clock is ahead.
        now: Time on the monotonic clock, in seconds.
        errors: The absolute error of the process at each check, in seconds.
    """

    error: float
    now: float = 0.0
    errors: list[float] = field(default_factory=list)
    process: TimeOfDay = field(init=False)

    def __post_init__(self) -> None:
        self.process = TimeOfDay(lambda: TRUE_OFFSET + self.error)

    def run(self, seconds: float) -> None:
        """Advance the time, with the checks of the process."""
        until = self.now + seconds
        while self.now + CHECK_INTERVAL_SECONDS <= until:
            self.now += CHECK_INTERVAL_SECONDS
            self.process.check(self.now)
            self.errors.append(abs(self.process.offset - TRUE_OFFSET))
        self.now = until


@given("a process on a VM whose time of day is {seconds:g} s behind")
def step_behind(context: Any, seconds: float) -> None:
    context.vm = Vm(-seconds)


@given("a process on a VM whose time of day is right")
def step_right(context: Any) -> None:
    context.vm = Vm(0.0)


@when("the VM's time of day is set {seconds:g} s later")
def step_set(context: Any, seconds: float) -> None:
    context.vm.run(seconds)
    context.vm.error = 0.0


@when("the VM's time of day is {ahead:g} s ahead for {seconds:g} s")
def step_jump(context: Any, ahead: float, seconds: float) -> None:
    jump(context.vm, ahead, seconds)
    context.vm.run(120.0)


@when(
    "the VM's time of day is {ahead:g} s ahead for {seconds:g} s, {times:d} times,"
    " every {period:g} s"
)
def step_jumps(
    context: Any, ahead: float, seconds: float, times: int, period: float
) -> None:
    for _ in range(times):
        jump(context.vm, ahead, seconds)
        context.vm.run(period - seconds)


def jump(vm: Vm, ahead: float, seconds: float) -> None:
    vm.run(7.0)
    vm.error = ahead
    vm.run(seconds)
    vm.error = 0.0


@then("the process is at most {most:g} s off after {seconds:g} s")
def step_off(context: Any, most: float, seconds: float) -> None:
    context.vm.run(seconds)
    assert context.vm.errors[-1] <= most, context.vm.errors


@then("the process was never more than {most:g} s off")
def step_never_off(context: Any, most: float) -> None:
    assert context.vm.errors and max(context.vm.errors) <= most, context.vm.errors
