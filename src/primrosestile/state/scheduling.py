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
    """Settings of the scheduler; docs/settings.md is made from the switches' text.

    Attributes:
        stop_seconds: The longest time that a worker takes to stop a run.
        checkpoint_seconds: Work after which a run with checkpoints saves one.
        headroom: Keep room free for urgent work that is expected. `auto`: on where a
            stop takes more than half the slack of the work of some urgent queue.
        preemption_history: Count how often work was stopped before it is stopped again.
            `auto`: off.
        organisation_shares: Share scarce room among organisations. `auto`: on where the
            largest guarantee of an organisation is at least three times the median.
        load_admission: Refuse jobs that can't be served in time. `auto`: on where the
            largest guarantee of an organisation is at least three times the median.
        speed_groups: Put gangs together from workers of similar speed. `auto`: on where
            the longest stop takes more than 0.5 s.
    """

    stop_seconds: float = 0.4
    checkpoint_seconds: float = 2.0
    headroom: Switch = Switch.AUTO
    preemption_history: Switch = Switch.AUTO
    organisation_shares: Switch = Switch.AUTO
    load_admission: Switch = Switch.AUTO
    speed_groups: Switch = Switch.AUTO


DEFAULT_SETTINGS = SchedulingSettings()
