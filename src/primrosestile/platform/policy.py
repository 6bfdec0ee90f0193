"""The operators' configuration, as the platform's store holds it."""

from typing import Any

import msgspec

from primrosestile.protocol.store import Entry
from primrosestile.protocol.transactions import TransactionalStore
from primrosestile.state.policy import Advised, CallLimits, Policy, Pool, Queue

POLICY_KEY = "op/config"


class _Advice(msgspec.Struct, frozen=True):
    decide_ms: float = 0.0
    period_ms: float = 0.0
    valid_ms: float = 0.0


class _Route(msgspec.Struct, frozen=True):
    """A queue; `slo_ms` is what a job's objective has besides its stretch."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: float = 3000.0
    slo_ms: float = 1000.0
    priority: int = 1
    attempts: int = 1
    stretch: float = 3.0
    public: bool = False
    advice: _Advice | None = None


class _Service(msgspec.Struct, frozen=True):
    """A pool of workers; with `admission_check` they refuse what doesn't fit."""

    name: str
    admission_check: bool = True
    spare: bool = False


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct, frozen=True):
    """An organisation; `guaranteed` may be null."""

    name: str
    api_keys: list[str] = []
    guaranteed: dict[str, Any] | None = None


class _Config(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    tenants: list[_Tenant] = []


def read_policy(entry: Entry) -> Policy:
    """Return the policy of a stored configuration.

    Raises:
        msgspec.MsgspecError: When it can't be read.
    """
    config = msgspec.json.decode(entry.value, type=_Config)
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
            tenant.name: int((tenant.guaranteed or {}).get("gpu", 0))
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


def _make_advised(advice: _Advice | None) -> Advised | None:
    if advice is None:
        return None
    return Advised(
        advice.decide_ms / 1000, advice.period_ms / 1000, advice.valid_ms / 1000
    )


class PlatformPolicies:
    """Implements `protocol.policies.PolicySource`."""

    key = POLICY_KEY

    def __init__(self, store: TransactionalStore) -> None:
        self._store = store

    async def read(self) -> Entry | None:
        """Return the newest version, never an old one."""
        return await self._store.get(POLICY_KEY)

    def decode(self, entry: Entry) -> Policy:
        """Return the policy of a stored version."""
        return read_policy(entry)
