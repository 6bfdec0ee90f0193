"""Checkpoints of tasks in memory: how much of a unit's work a value stands for.

A unit is a task, or a gang, whose members must all begin with one value.
"""

CHECKPOINT_SECONDS = 1.0
RESTORE_SECONDS = 0.1


class FleetCheckpoints:
    """Every value that was produced, and which value each run began with."""

    def __init__(self) -> None:
        """Know no value yet."""
        self._made: dict[str, tuple[str, float]] = {}
        self._began: dict[tuple[str, int], str] = {}

    def make(self, unit: str, seconds: float, stopped: bool) -> str:
        """Return the latest value after some work; empty while there is none."""
        if not stopped:
            seconds -= seconds % CHECKPOINT_SECONDS
        if seconds <= 0:
            return ""
        value = f"{unit}@{seconds:.3f}"
        self._made[value] = (unit, seconds)
        return value

    def find_done(self, value: str) -> float:
        """Return the seconds of work that need not be done again."""
        _, seconds = self._made.get(value, ("", 0.0))
        return max(0.0, seconds - RESTORE_SECONDS)

    def check(self, unit: str, run: int, value: str) -> str:
        """Return what is wrong with the value that a run begins with; else nothing."""
        if value and self._made.get(value, ("", 0.0))[0] != unit:
            return f"{unit} run {run} begins with {value!r}, which is not its own"
        if self._began.setdefault((unit, run), value) != value:
            return f"members of {unit} run {run} begin with different checkpoints"
        return ""
