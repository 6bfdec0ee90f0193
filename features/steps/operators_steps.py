"""Steps for the command line against real processes; they poll for conditions."""

import os
import shlex
import signal
import subprocess
import sys
from typing import Any

from behave import given, then, when
from features.steps.path_steps import TEAM, start_deployment
from tools.launch import Program

# Longer than the scenario, so that a stopped process stays listed.
LEASE_SECONDS = 120
COMMAND = (sys.executable, "-m", "primrosestile.programs.cli")


@given("an operator and a producer use domeworks on {vms:d} VMs")
def start(context: Any, vms: int) -> None:
    start_deployment(context, "domeworks", vms, process_lease_seconds=LEASE_SECONDS)
    context.names = {}


def run(context: Any, who: str, line: str) -> "subprocess.CompletedProcess[str]":
    """Run a command against the first VM; upper-case words stand for job ids."""
    programs = context.deployment.vms["vm-1"].programs
    tokens = {
        "operator": context.tokens["operator"],
        "producer": context.tokens["teams"][TEAM],
    }
    environment = {
        **os.environ,
        "PRIMROSESTILE_STEWARD": programs["steward"].settings.http,
        "PRIMROSESTILE_ENTRY": programs["entry"].settings.http,
        "PRIMROSESTILE_TOKEN": tokens[who],
    }
    words = [context.names.get(word, word) for word in shlex.split(line)]
    done = subprocess.run(
        (*COMMAND, *words), env=environment, capture_output=True, text=True
    )
    assert "Traceback" not in done.stderr, done
    context.done = done
    return done


@when('the producer runs "{line}" as {name}')
def submit(context: Any, line: str, name: str) -> None:
    done = run(context, "producer", line)
    assert done.returncode == 0, done
    context.names[name] = done.stdout.strip()


@when("the producer submits renders of {size:d} accelerators for an hour as {names}")
def submit_renders(context: Any, size: int, names: str) -> None:
    line = f"job submit --team {TEAM} --class wide-render --adjacency rack"
    for name in names.replace(" and ", ", ").split(", "):
        submit(context, f"{line} --accelerators {size} --seconds 3600", name)


@when('the {who:w} runs "{line}"')
def run_once(context: Any, who: str, line: str) -> None:
    done = run(context, who, line)
    assert done.returncode == 0, done


def wait(context: Any, condition: Any) -> None:
    try:
        context.deployment.wait_until(condition)
    except TimeoutError as error:
        raise AssertionError((context.done, str(error))) from error


@then('"{line}" shows "{text}" to the {who} in the end')
def check_shown(context: Any, line: str, text: str, who: str) -> None:
    wait(context, lambda: text in run(context, who, line).stdout)
    assert context.done.returncode == 0, context.done


@then('"{line}" exits with {code:d} for the {who} in the end')
def check_exit(context: Any, line: str, code: int, who: str) -> None:
    wait(context, lambda: run(context, who, line).returncode == code)


def find_program(context: Any, name: str) -> Program:
    vms = context.deployment.vms.values()
    programs = [program for vm in vms for program in vm.programs.values()]
    return next(program for program in programs if program.name == name)


@when("{name} is stopped with SIGSTOP")
def stop(context: Any, name: str) -> None:
    find_program(context, name).process.send_signal(signal.SIGSTOP)


@when("{name} is continued with SIGCONT")
def resume(context: Any, name: str) -> None:
    find_program(context, name).process.send_signal(signal.SIGCONT)


@then("the output names {name}")
def check_named(context: Any, name: str) -> None:
    assert name in context.done.stdout, context.done


@then("the output does not name {name}")
def check_not_named(context: Any, name: str) -> None:
    assert name not in context.done.stdout, context.done
