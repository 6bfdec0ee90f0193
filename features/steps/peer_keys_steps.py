"""Steps for the keys between the processes of a deployment, on real processes."""

import asyncio
from typing import Any

import zmq
from behave import given, then
from features.steps.path_steps import start_deployment
from tools.launch import Deployment

from primrosestile.errors import ErrorKind, Failure
from primrosestile.protocol.messages import Body, DigestRequest
from primrosestile.state.process import PeerKeys
from primrosestile.transport.peers import make_peers

ANSWER_TIMEOUT_SECONDS = 2.0


def make_keys() -> PeerKeys:
    public, secret = zmq.curve_keypair()
    return PeerKeys(public.decode(), secret.decode())


@given("{name:w} runs on {vms:d} VMs with keys between processes")
def start_with_keys(context: Any, name: str, vms: int) -> None:
    context.keys = make_keys()
    start_deployment(context, name, vms, peer_keys=context.keys)


async def ask_placer(deployment: Deployment, keys: PeerKeys | None) -> Body:
    placer = deployment.list_programs("placer")[0].settings
    assert placer is not None
    peers = make_peers("stranger", deployment.take_address(), keys)
    try:
        return await peers.ask(placer.peer, DigestRequest(), ANSWER_TIMEOUT_SECONDS)
    finally:
        peers.close()


@then("each entry has an answer from a placer")
def check_entries(context: Any) -> None:
    # An entry without an answer from any placer logs this event once.
    for program in context.deployment.list_programs("entry"):
        assert "cells_unknown" not in program.log.read_text()
    answer = asyncio.run(ask_placer(context.deployment, context.keys))
    assert answer is not None


@then("a process without the keys gets no answer from a placer")
def check_stranger(context: Any) -> None:
    for keys in (None, make_keys()):
        try:
            asyncio.run(ask_placer(context.deployment, keys))
        except Failure as failure:
            assert failure.kind is ErrorKind.NO_TARGET, failure
        else:
            raise AssertionError("a process without the keys was answered")
