"""Rules on single settings: unit, bounds, format, uniqueness and references.

Both the validation and the operators' page are generated from these tables, so that
every bound that is enforced is documented, and the other way round.

A pattern such as `fleet.workers.*.rack` names one field of every worker; `*`
matches each item of a list.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NumberRule:
    """The inclusive bounds of one numeric setting."""

    pattern: str
    unit: str
    low: float
    high: float
    meaning: str


@dataclass(frozen=True, slots=True)
class TextRule:
    """The format of one text setting.

    Attributes:
        expression: Regular expression that the whole text must match.
        form: The same in words, for the fault's remedy.
    """

    pattern: str
    expression: str
    form: str
    meaning: str


@dataclass(frozen=True, slots=True)
class UniqueRule:
    """Values that must be unique.

    Attributes:
        patterns: All fields that share one set of values.
        scope: Number of leading parts of the path within which values are unique;
            0 is the whole document.
        most: How often one value may occur there.
        secret: Whether the value must not be repeated in a fault.
    """

    patterns: tuple[str, ...]
    meaning: str
    scope: int = 0
    most: int = 1
    secret: bool = False


@dataclass(frozen=True, slots=True)
class ReferenceRule:
    """A name that must be defined elsewhere in the document."""

    pattern: str
    target: str
    noun: str


DAY_SECONDS = 86_400.0
NAME = r"[A-Za-z0-9][A-Za-z0-9_-]{0,62}"
NAME_FORM = "1 to 63 letters, digits, '-' or '_', starting with a letter or digit"
ADDRESS = r"(\d{1,3}\.){3}\d{1,3}:\d{1,5}(/[A-Za-z0-9._/-]*)?"

NUMBERS = (
    NumberRule("fleet.workers.*.accelerators", "accelerators", 0, 64, "per worker"),
    NumberRule("fleet.workers.*.slots", "requests", 0, 1024, "served at once"),
    NumberRule("fleet.workers.*.connections", "connections", 1, 65_535, "open at once"),
    NumberRule("fleet.workers.*.cores", "cores", 1, 4096, "processor cores"),
    NumberRule("fleet.workers.*.memory_gb", "GB", 1, 65_536, "memory"),
    NumberRule(
        "guarantees.guarantees.*.count", "shapes", 1, 10_000, "how many at once"
    ),
    NumberRule(
        "guarantees.guarantees.*.shape.accelerators",
        "accelerators",
        1,
        64,
        "in one guaranteed shape",
    ),
    NumberRule("policy.completion_weight", "share", 0, 1, "weight of completion time"),
    NumberRule("policy.fragmentation_weight", "share", 0, 1, "weight of fragmentation"),
    NumberRule("policy.patient_share", "share", 0, 0.9, "slots kept for patient work"),
    NumberRule("policy.queue_limit", "requests", 1, 100_000, "held by one entry"),
    NumberRule("policy.retry_ratio", "share", 0, 1, "retries per first attempt"),
    NumberRule(
        "policy.quarantine_share", "share", 0, 0.5, "of a cell's workers in quarantine"
    ),
    NumberRule(
        "teams.*.quota_accelerators", "accelerators", 0, 120_000, "held by one team"
    ),
    NumberRule(
        "teams.*.classes.*.expected_seconds",
        "seconds",
        0.001,
        7 * DAY_SECONDS,
        "declared run time",
    ),
    NumberRule(
        "teams.*.classes.*.deadline_seconds",
        "seconds",
        0.05,
        3600,
        "how long a caller waits for a short request",
    ),
    NumberRule(
        "teams.*.classes.*.shape.accelerators",
        "accelerators",
        1,
        64,
        "default gang of this class",
    ),
)

TEXTS = (
    TextRule("fleet.failure_domains.*.name", NAME, NAME_FORM, "failure domain"),
    TextRule("fleet.failure_domains.*.region", NAME, NAME_FORM, "region"),
    TextRule("fleet.racks.*.name", NAME, NAME_FORM, "rack"),
    TextRule("fleet.cells.*.name", NAME, NAME_FORM, "cell; part of every job id"),
    TextRule("fleet.workers.*.name", NAME, NAME_FORM, "worker, as in the VM list"),
    TextRule(
        "fleet.workers.*.address",
        ADDRESS,
        "an IP number, a port and perhaps a path, such as 10.0.0.7:8000",
        "control and request endpoint",
    ),
    TextRule("guarantees.organisations.*", NAME, NAME_FORM, "organisation"),
    TextRule("teams.*.name", NAME, NAME_FORM, "team"),
    TextRule("teams.*.classes.*.name", NAME, NAME_FORM, "job class"),
    TextRule("teams.*.keys.*.name", NAME, NAME_FORM, "holder of a key"),
    TextRule(
        "teams.*.keys.*.sha256",
        r"[0-9a-f]{64}",
        "the SHA-256 of the token as 64 lower-case hex digits, never the token itself",
        "hash of a bearer token",
    ),
    TextRule(
        "teams.*.keys.*.scope",
        r"caller|organisation",
        "'caller' for the team, or 'organisation' for all teams of its organisation",
        "what the key may do",
    ),
    TextRule("policy.operator_keys.*.name", NAME, NAME_FORM, "operator"),
    TextRule(
        "policy.operator_keys.*.sha256",
        r"[0-9a-f]{64}",
        "the SHA-256 of the token as 64 lower-case hex digits, never the token itself",
        "hash of an operator's bearer token",
    ),
    TextRule(
        "policy.operator_keys.*.scope",
        r"operator",
        "'operator'",
        "what the key may do",
    ),
)

# A holder has two keys during a rotation, so that there is no time at which neither
# the old nor the new token is valid. A third would be an old one not removed.
KEYS_PER_HOLDER = 2

UNIQUES = (
    UniqueRule(("fleet.failure_domains.*.name",), "failure domain"),
    UniqueRule(("fleet.racks.*.name",), "rack"),
    UniqueRule(("fleet.cells.*.name",), "cell"),
    UniqueRule(("fleet.cells.*.racks.*",), "rack within cells"),
    UniqueRule(("fleet.workers.*.name",), "worker"),
    UniqueRule(("fleet.workers.*.address",), "worker address"),
    UniqueRule(("guarantees.organisations.*",), "organisation"),
    UniqueRule(("teams.*.name",), "team"),
    UniqueRule(("teams.*.classes.*.name",), "job class", scope=2),
    UniqueRule(
        ("teams.*.keys.*.name",), "holder of a key", scope=2, most=KEYS_PER_HOLDER
    ),
    UniqueRule(
        ("policy.operator_keys.*.name",), "holder of a key", most=KEYS_PER_HOLDER
    ),
    UniqueRule(
        ("policy.operator_keys.*.sha256", "teams.*.keys.*.sha256"),
        "key hash",
        secret=True,
    ),
)

REFERENCES = (
    ReferenceRule(
        "fleet.racks.*.failure_domain", "fleet.failure_domains.*.name", "failure domain"
    ),
    ReferenceRule("fleet.cells.*.racks.*", "fleet.racks.*.name", "rack"),
    ReferenceRule("fleet.workers.*.rack", "fleet.racks.*.name", "rack"),
    ReferenceRule(
        "guarantees.guarantees.*.organisation",
        "guarantees.organisations.*",
        "organisation",
    ),
    ReferenceRule("teams.*.organisation", "guarantees.organisations.*", "organisation"),
)
