"""Decodes the operators' configuration in the platform's store."""

from collections.abc import Callable
from typing import Annotated

import msgspec

from primrosestile.errors import ErrorKind, Failure
from primrosestile.platform.rejections import (
    Fault,
    RejectionLog,
    Source,
    Unreadable,
    decode_json,
)
from primrosestile.protocol.policies import StoredVersion
from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import Condition, TransactionalStore
from primrosestile.state.policy import AdviceRules, CallLimits, Policy, Pool, Queue

POLICY_KEY = "op/config"
# A day: no timeout or objective is longer. A longer one can't be distinguished from
# no deadline.
MAX_DURATION_MS = 86_400_000.0

_Text = Annotated[str, msgspec.Meta(min_length=1)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**31)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]


class _Advice(msgspec.Struct, frozen=True):
    decide_ms: _Milliseconds = 0.0
    period_ms: _Milliseconds = 0.0
    valid_ms: _Milliseconds = 0.0


class _Route(msgspec.Struct, frozen=True):
    """A queue; `slo_ms` is the constant part of a job's objective, beside `stretch`."""

    name: _Text
    host: _Text
    prefix: _Text
    service: _Text
    slo_ms: _Milliseconds
    priority: _Count
    attempts: Annotated[int, msgspec.Meta(ge=1, le=2**31)]
    stretch: Annotated[float, msgspec.Meta(gt=0, le=1e6)]
    timeout_ms: _Milliseconds = 3000.0
    public: bool = False
    advice: _Advice | None = None


class _Service(msgspec.Struct, frozen=True):
    """A worker pool; with `admission_check`, workers refuse tasks that do not fit."""

    name: _Text
    admission_check: bool
    spare: bool = False


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: _Count = 16_384
    max_body_bytes: _Count = 262_144
    header_timeout_ms: _Milliseconds = 3000.0
    idle_timeout_ms: _Milliseconds = 15_000.0


class _Guaranteed(msgspec.Struct, frozen=True):
    gpu: _Count = 0


class _Tenant(msgspec.Struct, frozen=True):
    """An organisation; `guaranteed` may be null."""

    name: _Text
    api_keys: list[_Text]
    guaranteed: _Guaranteed | None = None


class _Config(msgspec.Struct, frozen=True):
    """Every section is required.

    An absent section that counted as empty would remove every queue or key.
    """

    version: Annotated[int, msgspec.Meta(ge=0, le=2**62)]
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant]


def read_policy(entry: Entry) -> Policy:
    """Decode a stored configuration.

    Raises:
        Unreadable: When it can't be read.
    """
    config = decode_json(entry.value, _Config)
    for route in config.routes:
        if not route.prefix.startswith("/"):
            raise Unreadable(Fault.FORM, "prefix", route.prefix)
    limits = config.limits
    return Policy(
        version=config.version,
        revision=entry.mod_revision,
        queues=tuple(_make_queue(route) for route in config.routes),
        pools={
            each.name: Pool(each.name, each.admission_check, each.spare)
            for each in config.services
        },
        keys={key: tenant.name for tenant in config.tenants for key in tenant.api_keys},
        guarantees={
            tenant.name: tenant.guaranteed.gpu if tenant.guaranteed else 0
            for tenant in config.tenants
        },
        limits=CallLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
    )


def _make_queue(route: _Route) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        pool=route.service,
        priority=route.priority,
        attempts=route.attempts,
        stretch=route.stretch,
        objective_seconds=route.slo_ms / 1000,
        timeout_seconds=route.timeout_ms / 1000,
        public=route.public,
        advised=_make_advised(route.advice),
    )


def _make_advised(advice: _Advice | None) -> AdviceRules | None:
    if advice is None:
        return None
    return AdviceRules(
        advice.decide_ms / 1000, advice.period_ms / 1000, advice.valid_ms / 1000
    )


class PlatformPolicies:
    """Implements `protocol.policies.PolicySource`."""

    key = POLICY_KEY

    def __init__(
        self, store: TransactionalStore, rejections: RejectionLog | None = None
    ) -> None:
        self._store = store
        self._rejections = rejections or RejectionLog()

    async def read(self, on_part: Callable[[], None]) -> StoredVersion | None:
        """Return the current version; a stale read is not allowed."""
        entry = await self._store.get(POLICY_KEY, on_part=on_part)
        return None if entry is None else StoredVersion(entry.mod_revision, entry)

    async def read_newer(
        self, known: int, on_part: Callable[[], None]
    ) -> StoredVersion | None:
        """Return the current version, without its entry if it is the known one."""
        outcome = await self._store.check(Condition(POLICY_KEY, known), on_part)
        if outcome.done:
            return StoredVersion(known, None)
        if not outcome.found:
            return None
        return StoredVersion(outcome.found[0].mod_revision, outcome.found[0])

    def decode(self, entry: Entry) -> Policy:
        """Return the policy of a stored version."""
        rejected: dict[str, Unreadable] = {}
        try:
            return read_policy(entry)
        except Unreadable as rejection:
            rejected[f"revision {entry.mod_revision}"] = rejection
            raise Failure(ErrorKind.MALFORMED, str(rejection)) from rejection
        finally:
            self._rejections.replace(Source.POLICY, POLICY_KEY, rejected)
