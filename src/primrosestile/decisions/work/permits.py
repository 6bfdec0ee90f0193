"""Tickets of the advice service, which says on which workers a step may run."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Permit:
    """The advice service's ticket for running a step on a worker.

    Attributes:
        until: When the ticket expires, on the loop's clock.
    """

    ticket: str
    until: float


@dataclass(slots=True)
class Permits:
    """The advice service's answers about one step.

    Attributes:
        granted: By worker; the tickets may have expired.
        refused: Workers on which it may never run.
    """

    granted: dict[str, Permit] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)

    def is_valid(self, worker: str, now: float) -> bool:
        """Whether the step may be started on a worker now."""
        permit = self.granted.get(worker)
        return permit is not None and now < permit.until

    def expire(self, worker: str, ticket: str) -> None:
        """Expire a ticket that a worker did not accept, unless there is another one."""
        permit = self.granted.get(worker)
        if permit is not None and permit.ticket == ticket:
            self.granted[worker] = Permit(permit.ticket, 0.0)
