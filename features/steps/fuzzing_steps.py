from typing import Any

from behave import given, then, when
from features.doubles.cells import (
    SETTLE_SECONDS,
    TASK_LEASE_SECONDS,
    WORKERS,
    Deployment,
    Placer,
    check_gangs,
    check_settled,
)
from features.doubles.network import Fate
from features.doubles.processes import Running
from features.doubles.requests import (
    SETTLE_SECONDS as SETTLE_REQUESTS_SECONDS,
    Counter,
    check_answerable,
    check_requests,
)
from features.doubles.slots import SLOT, OneSlot
from features.fuzzing.gangs import GangMachine
from features.fuzzing.requests import RequestMachine
from features.fuzzing.running import run_machine
from features.fuzzing.settings import SettingsMachine

from primrosestile.state.jobs import JobRecord, JobState

STEP_SECONDS = 0.05


def start_deployment(context: Any) -> Deployment:
    context.deployment = Deployment()
    context.cleanups.append(context.deployment.close)
    context.deployment.advance(3.0)
    return context.deployment


def find_owner(deployment: Deployment) -> Placer:
    owners = [each for each in deployment.placers.values() if each.ownership.keepers]
    assert len(owners) == 1
    return owners[0]


def find_second_worker(deployment: Deployment) -> str:
    return sorted({run.worker for run in deployment.list_runs()})[1]


@given("a fuzzed cell of four workers")
def give_cell(context: Any) -> None:
    start_deployment(context)


@given("a fuzzed cell of which only two workers may be used")
def give_small_cell(context: Any) -> None:
    deployment = start_deployment(context)
    for name in ("w2", "w3"):
        deployment.leave(name, told=True, listed=False)
    deployment.advance(6.0)


@given("the owner's third call to a worker is lost")
def lose_third_call(context: Any) -> None:
    fates = [Fate.DONE, Fate.DONE, Fate.LOST_BEFORE]
    find_owner(context.deployment).worker_link.fates.extend(fates)


@given("the entry's write of a job comes late, and the next one is refused")
def delay_job_write(context: Any) -> None:
    # The first two writes are the grant of the claims' lease and the claim.
    fates = [Fate.DONE, Fate.DONE, Fate.LATE, Fate.NEVER_SENT]
    context.deployment.entry_link.fates.extend(fates)


@given("a fuzzed cell that runs a restartable gang of {seconds:d} seconds")
def give_running_gang(context: Any, seconds: int) -> None:
    deployment = start_deployment(context)
    deployment.submit(float(seconds), restartable=True)
    deployment.advance(2.0)
    assert len(deployment.list_runs()) == 2


@given(
    "the VM list shows a worker of the fuzzed cell as leaving for {seconds:d} seconds"
)
def list_leaving(context: Any, seconds: int) -> None:
    context.deployment.leave("w0", told=False, listed=True)
    context.deployment.advance(float(seconds))


@when("the owner of the fuzzed cell is killed")
def kill_owner(context: Any) -> None:
    context.deployment.kill(find_owner(context.deployment).process.name)


@when("the owner's next call to the store is never answered")
def silence_store(context: Any) -> None:
    owner = find_owner(context.deployment)
    (keeper,) = owner.ownership.keepers.values()
    context.owner, context.epoch = owner, keeper.epoch
    owner.store_link.fates.append(Fate.LOST_BEFORE)


@then("the fuzzed cell has the owner and the epoch that it had")
def check_same_owner(context: Any) -> None:
    owner = find_owner(context.deployment)
    (keeper,) = owner.ownership.keepers.values()
    assert (owner, keeper.epoch) == (context.owner, context.epoch), keeper.epoch


@then(
    "the next owner renews the gang's leases within {seconds:f} seconds of its recovery"
)
def check_renewed_at_once(context: Any, seconds: float) -> None:
    deployment = context.deployment
    deployment.placers = {
        name: placer
        for name, placer in deployment.placers.items()
        if placer.process.state is Running.YES
    }
    while not is_recovered(deployment):
        deployment.advance(STEP_SECONDS)
    deployment.advance(seconds)
    tasks = deployment.list_tasks()
    assert len(tasks) == 2, tasks
    for task in tasks:
        used = TASK_LEASE_SECONDS - task.lease_seconds
        # A lease is shortened by the age of the last answers of the other members.
        assert used <= 2 * seconds, task


def is_recovered(deployment: Deployment) -> bool:
    keepers = [
        keeper
        for placer in deployment.placers.values()
        for keeper in placer.ownership.keepers.values()
    ]
    return any(keeper.recovered.is_set() for keeper in keepers)


@when("a restartable gang of {seconds:d} seconds is submitted to the fuzzed cell")
def submit_gang(context: Any, seconds: int) -> None:
    context.deployment.submit(float(seconds), restartable=True)


@when("the second worker of the gang dies")
def kill_worker(context: Any) -> None:
    context.deployment.kill_worker(find_second_worker(context.deployment))


@when("the second worker of the gang loses its tasks")
def lose_tasks(context: Any) -> None:
    context.deployment.lose_tasks(find_second_worker(context.deployment))


@when(
    "each task of the fuzzed cell is lost within a second of its start,"
    " for {seconds:d} seconds"
)
def lose_all_tasks(context: Any, seconds: int) -> None:
    for _ in range(seconds):
        lose_everything(context.deployment)
        context.deployment.advance(1.0)


def lose_everything(deployment: Deployment) -> None:
    for name in WORKERS:
        deployment.lose_tasks(name)


@when(
    "the workers of the gang lose their tasks every {seconds:d} seconds,"
    " {count:d} times"
)
def lose_tasks_often(context: Any, seconds: int, count: int) -> None:
    for _ in range(count):
        context.deployment.advance(float(seconds))
        lose_everything(context.deployment)


def read_only_job(context: Any) -> JobRecord:
    (submitted,) = context.deployment.submitted
    record = context.deployment.read_record(submitted.spec.job_id)
    assert isinstance(record, JobRecord)
    return record


@then("the job of the fuzzed cell has failed after at most {count:d} starts")
def check_failed(context: Any, count: int) -> None:
    record = read_only_job(context)
    assert record.state is JobState.FAILED, record.state
    starts = {run.task_id for run in context.deployment.list_runs()}
    assert len(starts) <= count, starts


@then("the job of the fuzzed cell has finished")
def check_finished(context: Any) -> None:
    assert read_only_job(context).state is JobState.FINISHED


@when("the store of the fuzzed cell goes down")
def stop_store(context: Any) -> None:
    context.deployment.store.faults.down = True


@when("{seconds:d} seconds pass in the fuzzed cell")
def pass_time(context: Any, seconds: int) -> None:
    context.deployment.advance(float(seconds))


@given("a fuzzed cell whose owner died while it moved a job to another cell")
def give_moving_job(context: Any) -> None:
    deployment = start_deployment(context)
    for name in deployment.placers:
        deployment.kill(name)
    deployment.submit(5.0, restartable=True)
    deployment.put_half_moved(0)


@when("the caller of the moving job asks for its cancellation")
def cancel_moving(context: Any) -> None:
    context.cancelled = context.deployment.cancel(0)


@when("{seconds:d} seconds pass in the fuzzed cell with every placer replaced")
def replace_all(context: Any, seconds: int) -> None:
    context.deployment.heal()
    context.deployment.advance(float(seconds))


@then("the caller was refused, or the moved job is asked to be cancelled")
def check_cancelled(context: Any) -> None:
    moved = context.deployment.read_moved()
    assert not context.cancelled or moved.cancel_requested


@then("every invariant of gangs holds in the fuzzed cell")
def check_invariants(context: Any) -> None:
    check_gangs(context.deployment)


@then("no job of the fuzzed cell is stuck")
def check_nothing_stuck(context: Any) -> None:
    context.deployment.heal()
    context.deployment.advance(SETTLE_SECONDS)
    check_gangs(context.deployment)
    check_settled(context.deployment)


@given("one slot with a request in it and another request waiting for it")
def give_full_slot(context: Any) -> None:
    context.counter = OneSlot()
    context.cleanups.append(context.counter.close)


@when("the waiting caller hangs up just before the request in the slot ends")
def hang_up(context: Any) -> None:
    context.counter.hang_up_and_end()


@then("the slot is free for a third request")
def check_slot(context: Any) -> None:
    assert context.counter.take_slot() == SLOT


@given("a fuzzed counter with two entries")
def give_counter(context: Any) -> None:
    context.counter = Counter()
    context.cleanups.append(context.counter.close)
    context.counter.advance(3.0)


@given("the store of the fuzzed counter takes {seconds:f} seconds for each call")
def slow_counter_store(context: Any, seconds: float) -> None:
    context.counter.store.faults.slow_seconds = seconds


@when("a clerk sends a surcharge run and hangs up {seconds:f} seconds later")
def send_and_hang_up(context: Any, seconds: float) -> None:
    context.counter.send_new("e0", idempotent=False, seconds=0.1)
    context.counter.advance(seconds)
    context.counter.hang_up(0)


@when("a clerk's surcharge run waits in a suspended entry")
def send_to_suspended(context: Any) -> None:
    context.counter.pause("e1")
    context.counter.send_new("e1", idempotent=False, seconds=3.0)
    context.counter.advance(2.5)


@when("the clerk sends it again to the other entry, which runs it")
def send_elsewhere(context: Any) -> None:
    context.counter.send_again(0, "e0")
    context.counter.advance(6.0)
    assert context.counter.requests[0].calls[1].answer is not None


@when("the first entry resumes while the store is down")
def resume_without_store(context: Any) -> None:
    context.counter.store.faults.down = True
    context.counter.resume("e1")
    context.counter.advance(10.0)


@then("the surcharge run ran once and its first sending never reached a target")
def check_overtaken(context: Any) -> None:
    check_requests(context.counter)
    first = context.counter.requests[0].calls[0]
    assert len(context.counter.list_runs()) == 1
    assert not [each for each in context.counter.reached if each.call is first]


@then("the surcharge run is answered when it is sent again")
def check_sent_again(context: Any) -> None:
    context.counter.heal()
    context.counter.advance(SETTLE_REQUESTS_SECONDS)
    check_answerable(context.counter)
    check_requests(context.counter)


@then("{runs:d} runs of {steps:d} steps with placers and workers hold every invariant")
def run_gangs(context: Any, runs: int, steps: int) -> None:
    run_machine(GangMachine, runs, steps)


@then("{runs:d} runs of {steps:d} steps with entries and targets hold every invariant")
def run_requests(context: Any, runs: int, steps: int) -> None:
    run_machine(RequestMachine, runs, steps)


@then("{runs:d} runs of {steps:d} steps with operators and stores hold every invariant")
def run_settings(context: Any, runs: int, steps: int) -> None:
    run_machine(SettingsMachine, runs, steps)
