"""The workloads of the request benchmark: fixed seeds, 24 workers with 8 slots."""

from collections.abc import Callable
from dataclasses import replace
from functools import cache

from primrosestile.state.tenancy import Urgency
from tools.bench.requests_driver import Arrival, Plan, Source, make_arrivals

SEED = 20261202
SLOTS = 24 * 8
RUN_SECONDS = 1.0
DEADLINE_SECONDS = 10.0
ORGANISATIONS = ("a", "b", "c", "d")


def spread(load: float, urgent_share: float = 0.5, **changes: object) -> list[Source]:
    """Return even demand of all organisations at a multiple of the capacity."""
    sources = []
    for organisation in ORGANISATIONS:
        for urgency in Urgency:
            share = urgent_share if urgency is Urgency.URGENT else 1 - urgent_share
            rate = load * SLOTS / RUN_SECONDS * share / len(ORGANISATIONS)
            if rate <= 0:
                continue
            source = Source(
                organisation,
                urgency.value,
                urgency,
                rate,
                RUN_SECONDS,
                DEADLINE_SECONDS,
            )
            sources.append(replace(source, **changes))  # type: ignore[arg-type]
    return sources


def make_plan(name: str, sources: list[Source], **changes: object) -> Plan:
    """Return a plan whose arrivals depend only on its sources."""
    return replace(
        Plan(name, make_arrivals(sources, 6, SEED)),
        **changes,  # type: ignore[arg-type]
    )


def make_bursts() -> Plan:
    """Half of the capacity, with three 4 s bursts of four times the capacity."""
    sources = spread(0.5)
    for begin in (10.0, 30.0, 50.0):
        sources += spread(3.5, begin=begin, end=begin + 4.0)
    return make_plan("bursts", sources)


def make_skew() -> Plan:
    """One organisation sends twice the capacity, half of it to one entry."""
    big = Source("a", "bulk", Urgency.URGENT, SLOTS, RUN_SECONDS, DEADLINE_SECONDS)
    sources = [big, replace(big, entry=0)]
    for organisation in ORGANISATIONS[1:]:
        quote = Source(
            organisation,
            "quote",
            Urgency.URGENT,
            SLOTS * 0.1,
            RUN_SECONDS,
            DEADLINE_SECONDS,
        )
        sources.append(quote)
    return make_plan("skew", sources)


def make_long_short() -> Plan:
    """Short urgent work beside long patient work that alone would fill all slots."""
    urgent = Source("a", "quote", Urgency.URGENT, SLOTS * 0.4 / 0.2, 0.2, 5.0)
    patient = Source("b", "tables", Urgency.PATIENT, SLOTS * 1.2 / 8, 8.0, 120.0)
    late = replace(urgent, organisation="c", begin=30.0, rate=urgent.rate / 2)
    return make_plan("long-short", [urgent, patient, late])


def make_waves() -> Plan:
    """Patient bulk work that is cancelled by the thousand beside urgent work."""
    urgent = Source(
        "a", "quote", Urgency.URGENT, SLOTS * 0.5, RUN_SECONDS, DEADLINE_SECONDS
    )
    bulk = Source("b", "captions", Urgency.PATIENT, SLOTS * 2.0, RUN_SECONDS, 120.0)
    plan = make_plan("cancellation-waves", [urgent, bulk])
    return replace(
        plan, arrivals=tuple(cancel_in_waves(each) for each in plan.arrivals)
    )


def cancel_in_waves(arrival: Arrival) -> Arrival:
    if arrival.waiting.urgency is Urgency.URGENT:
        return arrival
    wave = next(
        (time for time in (15.0, 30.0, 45.0) if time > arrival.waiting.arrived_at), None
    )
    return replace(arrival, cancelled_at=wave)


def make_half_leaves() -> Plan:
    """Half of the workers leave while nearly all slots are in use."""
    leaving = {f"worker-{number}": 20.0 for number in range(12)}
    return make_plan("half-the-fleet-leaves", spread(0.9), leaving=leaving)


def make_failing() -> Plan:
    """Three workers fail each request within a hundredth of a second."""
    failing = frozenset(("worker-3", "worker-11", "worker-19"))
    return make_plan("failing-workers", spread(0.7), failing=failing)


def make_half_fails() -> Plan:
    """Half of the workers fail each request, at three times the capacity."""
    failing = frozenset(f"worker-{number}" for number in range(12))
    return make_plan("half-the-fleet-fails", spread(3.0), failing=failing)


def make_slow(name: str, shape: str) -> Plan:
    """One worker of 24 takes ten times as long."""
    return make_plan(name, spread(0.7, shape=shape), slow={"worker-5": 10.0})


PLANS: dict[str, Callable[[], Plan]] = {
    "capacity": lambda: make_plan("capacity", spread(1.0)),
    "saturation-3x": lambda: make_plan("saturation-3x", spread(3.0)),
    "bursts": make_bursts,
    "skew": make_skew,
    "even-fleet": lambda: make_plan("even-fleet", spread(0.7)),
    "one-slow-target": lambda: make_slow("one-slow-target", "exponential"),
    "even-runs": lambda: make_plan("even-runs", spread(0.7, shape="uniform")),
    "even-runs-slow-target": lambda: make_slow("even-runs-slow-target", "uniform"),
    "long-short": make_long_short,
    "cancellation-waves": make_waves,
    "failing-workers": make_failing,
    "half-the-fleet-leaves": make_half_leaves,
    "half-the-fleet-fails": make_half_fails,
    "declared-far-off": lambda: make_plan(
        "declared-far-off", spread(1.5, declared=30.0)
    ),
}


@cache
def find_plan(name: str) -> Plan:
    """Return a workload by its name."""
    return PLANS[name]()
