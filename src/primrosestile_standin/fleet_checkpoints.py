"""In-memory checkpoints: how many seconds of a unit's work each value saves.

A unit is a task, or a gang whose members must all start from the same value.
"""

CHECKPOINT_SECONDS = 1.0
RESTORE_SECONDS = 0.1


class FleetCheckpoints:
    """All values that were produced, and the value from which each run started."""

    def __init__(self) -> None:
        """Start without any value."""
        self._made: dict[str, tuple[str, float]] = {}
        self._began: dict[tuple[str, int], str] = {}

    def make(self, unit: str, seconds: float, stopped: bool) -> str:
        """Return the latest value after some seconds of work; empty if none."""
        if not stopped:
            seconds -= seconds % CHECKPOINT_SECONDS
        if seconds <= 0:
            return ""
        value = f"{unit}@{seconds:.3f}"
        self._made[value] = (unit, seconds)
        return value

    def find_saved_seconds(self, value: str) -> float:
        """Return the seconds of work that a run from this value skips."""
        _, seconds = self._made.get(value, ("", 0.0))
        return max(0.0, seconds - RESTORE_SECONDS)

    def check(self, unit: str, run: int, value: str) -> str:
        """Return the violation of a run's initial value; empty if it is valid."""
        if value and self._made.get(value, ("", 0.0))[0] != unit:
            return (
                f"{unit} run {run} starts from {value!r}, which belongs to another unit"
            )
        if self._began.setdefault((unit, run), value) != value:
            return f"members of {unit} run {run} start from different checkpoints"
        return ""
