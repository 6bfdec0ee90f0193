"""How a deployment wants its jobs scheduled: timing of its workers, and features."""

from dataclasses import dataclass
from enum import StrEnum


class Switch(StrEnum):
    """Whether a feature is used; `AUTO` lets its own rule decide."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"

    def resolve(self, wanted: bool) -> bool:
        """Return whether the feature is used.

        Args:
            wanted: What the feature's rule says of this deployment.
        """
        if self is Switch.AUTO:
            return wanted
        return self is Switch.ON


@dataclass(frozen=True, slots=True)
class SchedulingSettings:
    """Settings of the scheduler; each feature's module says what `AUTO` means.

    Attributes:
        stop_seconds: The longest time that a worker takes to stop a run.
        checkpoint_seconds: Work after which a run with checkpoints saves one.
        headroom: Keep room free for urgent work that is expected.
        preemption_history: Count how often work was stopped before it is stopped again.
        organisation_shares: Share scarce room among organisations.
        load_admission: Refuse jobs that can't be served.
        speed_groups: Put gangs together from workers of similar speed.
    """

    stop_seconds: float = 0.4
    checkpoint_seconds: float = 2.0
    headroom: Switch = Switch.AUTO
    preemption_history: Switch = Switch.AUTO
    organisation_shares: Switch = Switch.AUTO
    load_admission: Switch = Switch.AUTO
    speed_groups: Switch = Switch.AUTO


DEFAULT_SETTINGS = SchedulingSettings()
