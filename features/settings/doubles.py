"""Shared helpers of the settings steps: a paused clock, examples, a loaded store."""

import asyncio
import json
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

import looptime
import msgspec

from primrosestile.coordination.setting_store import put_setting
from primrosestile.decisions.settings_parts import split_document
from primrosestile.state.settings import Settings
from primrosestile_standin.store import MemoryStore

EXAMPLES = Path(__file__).parents[2] / "examples"
ACTOR = "operator-demo"

T = TypeVar("T")


def run_paused(work: Coroutine[Any, Any, T]) -> T:
    """Run to the end on a loop whose clock jumps to the next timer."""
    with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
        return runner.run(work)


def read_example(name: str) -> dict[str, Any]:
    return json.loads((EXAMPLES / name / "settings.json").read_text())


def read_example_settings(name: str) -> Settings:
    return msgspec.convert(read_example(name), Settings)


def encode_text(value: Any) -> str:
    return msgspec.json.encode(value).decode()


async def make_loaded_store(name: str) -> MemoryStore:
    store = MemoryStore()
    document = read_example(name)
    for path, value in split_document(document):
        await put_setting(store, path, json.dumps(value), 0, ACTOR)
    return store
