"""Steps for the decision to refuse a job under load, without input or output."""

import json
import re
import tempfile
from collections import Counter
from pathlib import Path
from typing import Any

import structlog.testing
from aiohttp import web
from aiohttp.test_utils import make_mocked_request
from behave import given, then, when
from features.steps.work_decisions_steps import add_job, add_worker, make_fleet_state
from features.steps.work_outage_scope_steps import PolicyStore, make_submission, make_vm
from hypothesis import given as draw, settings, strategies as st

from primrosestile.coordination.work.load_gate import LoadGate
from primrosestile.decisions.work.durations import Durations
from primrosestile.decisions.work.guarantee_weights import has_uneven_guarantees
from primrosestile.decisions.work.load_admission import (
    LoadRefusal,
    judge_load,
    spread_retry,
)
from primrosestile.decisions.work.load_history import LoadHistory
from primrosestile.decisions.work.load_summary import summarise_load
from primrosestile.decisions.work.units import Unit
from primrosestile.decisions.work.waiting_units import list_waiting
from primrosestile.programs.cli_timeline import collect_timeline
from primrosestile.state.load import (
    LoadSummary,
    PoolLoad,
    QueueLoad,
    UrgentUse,
    decode_load,
    encode_load,
)
from primrosestile.state.policy import Policy, Pool, Queue
from primrosestile.state.scheduling import Switch
from primrosestile.state.work import Need, Repeats, Step, Submission
from primrosestile.transport.load_views import LOAD_VIEW_PATH

TRIES = settings(max_examples=200, deadline=None, derandomize=True, database=None)
POOL = "engine"
QUEUES = {
    name: Queue(name, "h", f"/{name}/", POOL, priority, 2, 3.0, 1.0, 3.0)
    for priority, name in enumerate(("urgent", "usual", "patient"))
}
LARGEST = Need(64_000, 64_000, 8)


def make_load(wait: float, fresh: float, jobs: dict[str, int]) -> LoadSummary:
    loads = {
        name: QueueLoad(POOL, 400, 10.0, wait, fresh, 0.0, jobs, {"": 4})
        for name in QUEUES
    }
    pool = PoolLoad(24, 10.0 if wait else 0.0, {"": LARGEST})
    return LoadSummary(1, 1, 0.0, loads, {POOL: pool})


def make_job(kind: str, needed: int) -> Submission:
    step = Step(
        1,
        Need(1000, 1000, needed),
        2.0,
        daemon=kind == "daemon",
        label="rare" if kind == "labelled" else "",
    )
    queue = "urgent" if kind == "urgent" else "usual"
    repeats = Repeats(3, 0.0, 1.0) if kind == "repeating" else Repeats()
    return Submission("a1", queue, "domes", POOL, "", (step,), repeats)


@given("an expected wait of {wait:g} s, or {fresh:g} s before late work")
def step_wait(context: Any, wait: float, fresh: float) -> None:
    context.summary = make_load(wait, fresh, {})
    context.guarantees = {}


@given(
    "an organisation with {count:d} guaranteed accelerators that uses {total:d} for"
    " urgent work, {staying:d} of it for long"
)
def step_use(context: Any, count: int, total: int, staying: int) -> None:
    context.guarantees["domes"] = count
    context.summary.urgent["domes"] = UrgentUse(total, staying)


@given("{own:d} jobs of it wait beside {others:d} of another with {count:d} guaranteed")
def step_share(context: Any, own: int, others: int, count: int) -> None:
    context.guarantees["post"] = count
    context.summary.queues["usual"].jobs.update(domes=own, post=others)


def judge(
    summary: LoadSummary, guarantees: dict[str, int], kind: str, needed: int, age: float
) -> LoadRefusal | None:
    queues = tuple(QUEUES.values())
    policy = Policy(1, 1, queues, {POOL: Pool(POOL, True)}, guarantees=guarantees)
    job = make_job(kind, needed)
    return judge_load(job, QUEUES[job.queue], policy, summary, age, 0.5)


@when(
    "its {kind} job of one task with {needed:d} accelerators is judged by a summary of"
    " {age:g} s"
)
def step_judge(context: Any, kind: str, needed: int, age: float) -> None:
    context.refusal = judge(context.summary, context.guarantees, kind, needed, age)


@then("the judgement is {verdict}")
def step_verdict(context: Any, verdict: str) -> None:
    found = context.refusal.reason.value if context.refusal else "accepted"
    assert found == verdict, context.refusal


@then("any time to return is of 1 to 10 whole seconds, and within a fifth and a second")
def step_retries(context: Any) -> None:
    @TRIES
    @draw(st.floats(0, 1e9), st.floats(0, 1, exclude_max=True))
    def check(seconds: float, drawn: float) -> None:
        retry = spread_retry(seconds, drawn)
        centre = min(10.0, max(1.0, seconds))
        assert 1 <= retry <= 10
        assert 0.8 * centre - 1 < retry < 1.2 * centre + 1, (seconds, retry)

    check()


@then("{count:d} callers who are told to return after about 8 s do so over 3 s or more")
def step_apart(context: Any, count: int) -> None:
    times = Counter(spread_retry(8.0, number / count) for number in range(count))
    assert max(times) - min(times) + 1 >= 3, times
    assert max(times.values()) <= count / 2, times


@then(
    "no drawn load refuses urgent work within its guarantee, or any at an unknown rate"
)
def step_never(context: Any) -> None:
    waits = st.floats(0, 1e6)

    @TRIES
    @draw(waits, waits, st.integers(0, 64), st.integers(0, 64), st.integers(1, 8))
    def check(
        wait: float, fresh: float, guarantee: int, staying: int, needed: int
    ) -> None:
        summary = make_load(wait, fresh, {"domes": 9, "post": 1})
        summary.urgent["domes"] = UrgentUse(staying, staying)
        within = staying + needed <= guarantee
        guarantees = {"domes": guarantee}
        if within:
            assert judge(summary, guarantees, "urgent", needed, 0.0) is None
        unknown = make_load(0.0, fresh, {"domes": 9, "post": 1})
        assert judge(unknown, guarantees, "usual", needed, 0.0) is None

    check()


@given("2 workers of 8 accelerators, one labelled big, under an owner of {age:g} s")
def step_owner(context: Any, age: float) -> None:
    context.state = make_fleet_state()
    add_worker(context.state, 1, 8, labels=("big",))
    add_worker(context.state, 2, 8)
    context.now = 100.0
    context.history = LoadHistory(context.now - age)


@given("{count:d} accelerators were started on in the last 5 s")
def step_started(context: Any, count: int) -> None:
    add_job(context.state, 99, 1, (Step(1, Need(1, 1, count)),))
    job = context.state.jobs.pop(f"{99:016x}")
    context.history.record_starts(job.units.values(), context.now - 1.0)


@given(
    "usual jobs of 8 accelerators that wait since 0, 0, 15 and 30 s, and patient ones"
    " since 0 s"
)
def step_waiting(context: Any) -> None:
    step = (Step(1, Need(1, 1, 8), 2.0),)
    for number, (priority, age) in enumerate(
        ((1, 0), (1, 0), (1, 15), (1, 30), (2, 0))
    ):
        add_job(context.state, number, priority, step, now=context.now, age=age)


@given("{queues:d} queues in which {count:d} organisations with long names wait")
def step_many(context: Any, queues: int, count: int) -> None:
    step_owner(context, 5.0)
    state = context.state
    names = [f"{number:03}" * 20 for number in range(queues)]
    state.policy = Policy(
        1,
        1,
        tuple(Queue(each, "h", "/", POOL, 1, 2, 3.0, 1.0, 3.0) for each in names),
        {POOL: Pool(POOL, True)},
    )
    context.names = names
    for number in range(count):
        submission = Submission(
            f"{number:016x}",
            names[number % queues],
            f"o{number}" * 20,
            POOL,
            "",
            (Step(1, Need(1, 1, 1), 2.0, label=f"l{number}" * 20),),
        )
        state.open_occurrence(state.admit(submission, None, context.now, 0.0), 0)


@when("the owner sums up the load")
def step_sum_up(context: Any) -> None:
    list_waiting(context.state.jobs.values(), context.now)
    context.summary = sum_up(context, context.history)


def sum_up(context: Any, history: LoadHistory) -> LoadSummary:
    return summarise_load(context.state, Durations(), history, context.now, 1, 1)


@then(
    "{queue} jobs wait {waiting:d} accelerators in all, {wait:g} s, and {fresh:g} s"
    " before late work"
)
def step_queue_load(
    context: Any, queue: str, waiting: int, wait: float, fresh: float
) -> None:
    load = context.summary.queues[{"usual": "q1", "patient": "q2"}[queue]]
    assert (load.waiting, load.wait, load.fresh_wait) == (waiting, wait, fresh), load


@then("the largest worker has 8 accelerators, also after all workers are gone")
def step_largest(context: Any) -> None:
    context.state.workers.clear()
    for summary in (context.summary, sum_up(context, context.history)):
        workers = summary.pools[POOL].workers
        assert workers[""].accelerators == workers["big"].accelerators == 8, workers


@then("an owner of {age:g} s knows no rate")
def step_no_rate(context: Any, age: float) -> None:
    history = LoadHistory(context.now - age)
    unit: Unit = next(iter(next(iter(context.state.jobs.values())).units.values()))
    history.record_starts([unit], context.now)
    assert sum_up(context, history).queues["q1"].wait == 0.0


@then("the summary has at most {count:d} bytes, and still names the longest queue")
def step_bounded(context: Any, count: int) -> None:
    encoded = encode_load(context.summary)
    assert len(encoded) <= count, len(encoded)
    assert decode_load(encoded).queues, "every queue was cut"


@given("organisations with keys are guaranteed {counts} accelerators")
def step_guarantees(context: Any, counts: str) -> None:
    guarantees = {f"o{n}": int(each) for n, each in enumerate(counts.split(", "))}
    keys = {f"key-{name}": name for name in guarantees}
    # Without an entry a guarantee is 0.
    found = {name: count for name, count in guarantees.items() if count}
    context.policy = Policy(1, 1, keys=keys, guarantees=found)


@then("guarantees are {found}")
def step_uneven(context: Any, found: str) -> None:
    assert has_uneven_guarantees(context.policy) == (found == "uneven")


class KnownLoad:
    """A watch with a fixed summary."""

    def __init__(self, summary: LoadSummary) -> None:
        self._summary = summary

    def find_summary(self) -> tuple[LoadSummary, float]:
        return self._summary, 0.25


@given("a VM whose fleet is {load}")
def step_loaded_vm(context: Any, load: str) -> None:
    make_vm(context, PolicyStore("answers"), [])
    jobs = {"domes": 30, "post": 1} if load == "over the share" else {}
    summary = make_load(0.0 if load == "too small" else 60.0, 60.0, jobs)
    for queue in summary.queues.values():
        queue.least[""] = 1
    summary.pools[POOL].workers[""] = Need(64_000, 64_000, 8)
    if load == "too small":
        summary.pools[POOL].workers[""] = Need(64_000, 64_000, 0)
    watch: Any = KnownLoad(summary)
    metrics = context.calls._metrics
    gate = LoadGate(watch, Switch.ON, metrics.count_refused_under_load, lambda: 0.5)
    context.calls._submissions._gate = gate


@when("a caller submits a job to that VM")
def step_submit(context: Any) -> None:
    async def submit() -> web.Response:
        await context.policies.refresh()
        await context.policies.refresh()
        response: web.Response = await context.calls.answer(make_submission(gpu=1))
        return response

    with structlog.testing.capture_logs() as context.log:
        context.response = context.runner.run(submit())


@then("it is answered {status:d} with the reason {reason}, to return within 1 to 10 s")
def step_answered(context: Any, status: int, reason: str) -> None:
    response = context.response
    assert response.status == status, response.status
    assert 1 <= int(response.headers["Retry-After"]) <= 10, response.headers
    assert json.loads(response.body) == {"reason": reason}, response.body
    context.reason = reason


@then("its refusal is counted, logged with the summary's age, and printed by explain")
def step_explained(context: Any) -> None:
    body, _ = context.calls._metrics.render([])
    counted = rf'refused_under_load_total{{[^}}]*reason="{context.reason}"[^}}]*}} 1'
    assert re.search(counted, body.decode()), body.decode()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder, "node.log")
        path.write_text("\n".join(json.dumps(line) for line in context.log))
        lines = collect_timeline([path], f"{1:016x}")
    found = [each for each in lines if each["event"] == "job_refused_under_load"]
    assert [each["reason"] for each in found] == [context.reason], lines
    assert found[0]["age"] == 0.25, found


@then("a process answers 404 to a query for its summary, and one that has one sends it")
def step_served(context: Any) -> None:
    make_vm(context, PolicyStore("answers"), [])
    request = make_mocked_request("GET", LOAD_VIEW_PATH)
    response = context.runner.run(context.calls.answer_peer(request))
    assert response.status == 404, response.status
    summary = make_load(60.0, 30.0, {"domes": 3})
    context.calls._find_load = lambda: summary
    response = context.runner.run(context.calls.answer_peer(request))
    assert response.status == 200, response.status
    assert decode_load(response.body) == summary
