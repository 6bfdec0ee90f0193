"""Authentication of bearer tokens and the rights that each key grants.

A burst of unauthenticated requests must be cheap, or anyone could crowd out
authorised callers. So the check comes first, reads only the header, and is one hash
and one look-up in an index that is built once for each settings snapshot.

Looking a token up by its hash leaks nothing useful. The time of a hash table
look-up depends on its key, but the key is the SHA-256 of what the caller sent, and
nobody can choose a token whose hash shares a prefix with a stored one. The final
comparison takes constant time.
"""

import hashlib
import hmac
from dataclasses import dataclass
from enum import Enum

from primrosestile.errors import ErrorKind, Failure
from primrosestile.state.settings import Settings
from primrosestile.state.tenancy import Key, Team

BEARER = "bearer "
# Longer than any token that an operator would issue. Without a limit an
# unauthenticated caller could choose how much is hashed.
TOKEN_LIMIT_CHARACTERS = 256


class Scope(Enum):
    """What a key may act for; the `scope` of the key in the settings."""

    CALLER = "caller"
    ORGANISATION = "organisation"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class Rights:
    """What the holder of a token may do.

    Attributes:
        key_name: The holder's name, for audit entries and logs.
        organisation: Empty for an operator.
        team: Empty for an operator.
    """

    key_name: str
    scope: Scope
    organisation: str = ""
    team: str = ""

    @property
    def is_operator(self) -> bool:
        """Whether it may change settings and see everything."""
        return self.scope is Scope.OPERATOR

    def may_act_for(self, team: Team) -> bool:
        """Whether it may submit, see and cancel work of a team."""
        if self.scope is Scope.ORGANISATION:
            return team.organisation == self.organisation
        return self.scope is Scope.CALLER and team.name == self.team

    def may_see(self, organisation: str, team: str) -> bool:
        """Whether it may see work of that organisation and team."""
        if self.is_operator:
            return True
        if self.scope is Scope.ORGANISATION:
            return organisation == self.organisation
        return team == self.team


@dataclass(frozen=True, slots=True)
class _IndexedKey:
    sha256: str
    rights: Rights


class KeyIndex:
    """All keys of one settings snapshot, by hash."""

    def __init__(self, settings: Settings) -> None:
        self._by_hash = {
            indexed.sha256: indexed
            for indexed in (*_list_callers(settings), *_list_operators(settings))
        }

    def find(self, token: str) -> Rights | None:
        """Return the rights of a token, or None."""
        if not token or len(token) > TOKEN_LIMIT_CHARACTERS:
            return None
        digest = hash_token(token)
        indexed = self._by_hash.get(digest)
        if indexed is None or not hmac.compare_digest(indexed.sha256, digest):
            return None
        return indexed.rights


class _LatestIndex:
    """Cache of the index of the latest settings snapshot.

    Settings are frozen and replaced whole, so one object has one index.
    """

    settings: Settings | None = None
    index: KeyIndex


def find_rights(settings: Settings, token: str) -> Rights | None:
    """Return the rights that the settings in force give to a token, or None."""
    if _LatestIndex.settings is not settings:
        _LatestIndex.index = KeyIndex(settings)
        _LatestIndex.settings = settings
    return _LatestIndex.index.find(token)


def hash_token(token: str) -> str:
    """Return the hash under which settings store a token."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).hexdigest()


def read_bearer(header: str | None) -> str:
    """Return the token of an `Authorization` header; empty when it has none."""
    if header is None or header[: len(BEARER)].lower() != BEARER:
        return ""
    return header[len(BEARER) :].strip()


def require_rights(settings: Settings, header: str | None) -> Rights:
    """Return the rights of the sender of an `Authorization` header.

    Raises:
        Failure: UNAUTHENTICATED. The detail never repeats the token.
    """
    rights = find_rights(settings, read_bearer(header))
    if rights is None:
        raise Failure(ErrorKind.UNAUTHENTICATED, "no valid bearer token was sent")
    return rights


def require_operator(settings: Settings, header: str | None) -> Rights:
    """Return the rights of an operator.

    Raises:
        Failure: UNAUTHENTICATED, or FORBIDDEN for a caller's key.
    """
    rights = require_rights(settings, header)
    if not rights.is_operator:
        raise Failure(
            ErrorKind.FORBIDDEN, f"key {rights.key_name!r} is not an operator's"
        )
    return rights


def _list_operators(settings: Settings) -> list[_IndexedKey]:
    keys = settings.policy.operator_keys
    return [_IndexedKey(key.sha256, Rights(key.name, Scope.OPERATOR)) for key in keys]


def _list_callers(settings: Settings) -> list[_IndexedKey]:
    return [
        _IndexedKey(key.sha256, _make_rights(team, key))
        for team in settings.teams
        for key in team.keys
    ]


def _make_rights(team: Team, key: Key) -> Rights:
    # An unknown scope gives the narrower right, and a team's key never gives an
    # operator's rights.
    wide = key.scope == Scope.ORGANISATION.value
    scope = Scope.ORGANISATION if wide else Scope.CALLER
    return Rights(key.name, scope, team.organisation, team.name)
