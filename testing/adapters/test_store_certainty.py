"""What a write says of itself is true, whatever answers are lost."""

from __future__ import annotations

import asyncio

import hypothesis
from hypothesis import strategies
import pytest
from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import errors
from testing.adapters import memory_store

KEY = "/k"
FATES = strategies.sampled_from(
    [
        memory_store.DONE,
        memory_store.LOST,
        memory_store.UNSENT,
        memory_store.DROPPED,
    ]
)


@pytest.fixture(autouse=True)
def _no_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store_module, "_LONGEST_REPEAT_S", 0.0)


class RivalStore(memory_store.MemoryStore):
    """Another writer comes in between after the given calls."""

    def __init__(self, rival_after: set[int]) -> None:
        super().__init__()
        self.rival_after = rival_after
        self.values: list[bytes] = []

    async def write(self, key: str, value: bytes, **options):
        """Write, then let the rival write."""
        before = self.entries.get(key)
        outcome = await super().write(key, value, **options)
        if self.entries.get(key) is not before:
            self.values.append(value)
        held = self.entries.get(key)
        if len(self.calls) in self.rival_after and held is not None:
            self.version += 1
            self.entries[key] = store_module.Entry(key, b"rival", self.version)
        return outcome


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    script=strategies.lists(FATES, max_size=5),
    rival_after=strategies.sets(strategies.integers(1, 5), max_size=2),
)
def test_answer_agrees_with_the_store(
    script: list[str], rival_after: set[int]
) -> None:
    store = RivalStore(rival_after)
    store.entries[KEY] = store_module.Entry(KEY, b"old", 1)
    store.script = list(script)
    outcome = asyncio.run(
        store_module.write_certain(store, KEY, b"own", expected_version=1)
    )
    took_effect = store.values.count(b"own")
    assert took_effect <= 1
    if isinstance(outcome, result.Success):
        assert took_effect == 1
    elif not isinstance(outcome.failure(), errors.OutcomeUnknown):
        assert took_effect == 0


def test_unsent_repeat_does_not_hide_an_unknown_first_try() -> None:
    store = memory_store.MemoryStore()
    store.script = [memory_store.LOST, memory_store.UNSENT]
    store.script.append(memory_store.UNSENT)
    outcome = asyncio.run(
        store_module.write_certain(store, KEY, b"own", expected_version=0)
    )
    assert isinstance(outcome.failure(), errors.OutcomeUnknown)
    assert store.entries[KEY].value == b"own"
