"""The steward's web application."""

from aiohttp import web

from primrosestile.coordination.settings_follower import SettingsFollower
from primrosestile.programs.answers import answer_failures
from primrosestile.programs.steward_settings import SettingsPages
from primrosestile.programs.steward_views import ListRecords, Views
from primrosestile.protocol.store import Store
from primrosestile.transport.connections import Connections

# A fleet of 15,000 workers is about 2 MB of JSON.
BODY_LIMIT_BYTES = 8_000_000


def make_steward_app(
    store: Store,
    follower: SettingsFollower,
    list_records: ListRecords,
    connections: Connections,
) -> web.Application:
    """Return the application for operators.

    Args:
        store: The platform's store.
        follower: The settings in force in this process.
        list_records: Returns the live processes.
        connections: Used for calls to the other processes.
    """
    app = web.Application(
        middlewares=[answer_failures], client_max_size=BODY_LIMIT_BYTES
    )
    SettingsPages(store, follower).add_routes(app)
    Views(store, follower, list_records, connections).add_routes(app)
    return app
