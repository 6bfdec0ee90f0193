"""All settings, assembled from the stored values.

Stored under `settings/`: `fleet`, `guarantees`, `policy`, the workers of each
failure domain under `workers/<failure domain>`, and one value for each team under
`teams/<team>`. A settings file holds the same sections in one JSON document, with
all workers in its `fleet`.
"""

from dataclasses import dataclass, field

from primrosestile.state.fleet import Fleet
from primrosestile.state.tenancy import Guarantees, Policy, Team

SETTINGS_PREFIX = "settings/"
FLEET_PATH = "fleet"
GUARANTEES_PATH = "guarantees"
POLICY_PATH = "policy"
WORKERS_PREFIX = "workers/"
TEAMS_PREFIX = "teams/"


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings that operators control."""

    fleet: Fleet = field(default_factory=Fleet)
    guarantees: Guarantees = field(default_factory=Guarantees)
    policy: Policy = field(default_factory=Policy)
    teams: tuple[Team, ...] = ()

    def find_team(self, name: str) -> Team | None:
        """Return the team of that name."""
        return next((team for team in self.teams if team.name == name), None)


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """One accepted change of one path.

    Attributes:
        actor: Name of the key that made the change; never the key itself.
        time: Seconds since 1970.
        revision: The path's own revision after the change, rising by one.
        before: The value before, as JSON text; empty for a new path.
        after: The value after, as JSON text; empty for a removed path.
        comment: The operator's reason.
    """

    actor: str
    time: float
    revision: int
    before: str
    after: str
    comment: str = ""


@dataclass(frozen=True, slots=True)
class StoredSetting:
    """The value kept in the store for one path.

    The change and its audit entry share one value, so one compare-and-swap writes
    both or neither.

    Attributes:
        revision: Rises by one with each accepted change.
        value: The section or team as JSON text.
        audit: The latest entries, newest last; older ones move to their own keys.
    """

    revision: int
    value: str
    audit: tuple[AuditEntry, ...] = ()
