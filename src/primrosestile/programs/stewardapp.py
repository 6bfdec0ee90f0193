"""The steward's web application, put together from its parts."""

from dataclasses import dataclass

from aiohttp import web

from primrosestile.coordination.follower import SettingsFollower
from primrosestile.programs.answers import make_json_answer
from primrosestile.programs.stewardsettings import SettingsPages
from primrosestile.programs.stewardviews import Views
from primrosestile.protocol.store import Store
from primrosestile.transport.connections import Connections

# A fleet of 15,000 workers is about 2 MB of JSON.
BODY_LIMIT_BYTES = 8_000_000


@dataclass(frozen=True, slots=True)
class StewardParts:
    """What the steward's pages work with.

    Attributes:
        name: The process's name.
        connections: For asking the other processes.
    """

    name: str
    store: Store
    follower: SettingsFollower
    connections: Connections


def add_applied_route(
    app: web.Application, name: str, follower: SettingsFollower
) -> None:
    """Add the page that every process has: which revisions it has applied."""

    async def show_applied(_: web.Request) -> web.Response:
        revisions = dict(follower.revisions)
        return make_json_answer({"process": name, "revisions": revisions})

    app.router.add_get("/v1/applied", show_applied)


def add_steward_routes(app: web.Application, parts: StewardParts) -> None:
    """Add every page of the steward to an application."""
    SettingsPages(parts.store, parts.follower).add_routes(app)
    Views(parts.store, parts.follower, parts.connections).add_routes(app)
    add_applied_route(app, parts.name, parts.follower)
