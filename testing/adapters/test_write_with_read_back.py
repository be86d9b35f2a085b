"""``write_with_read_back`` reports truthfully whether a write took effect.

Answers and requests are lost, and another writer changes the key
between the calls.
"""

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
CALL_OUTCOMES = strategies.sampled_from(
    [
        memory_store.ANSWERED,
        memory_store.ANSWER_LOST,
        memory_store.NOT_SENT,
        memory_store.REQUEST_LOST,
    ]
)


@pytest.fixture(autouse=True)
def _no_waits(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store_module, "_MAX_RETRY_DELAY_S", 0.0)


class ConcurrentWriterStore(memory_store.MemoryStore):
    """Another writer overwrites the key after the given calls."""

    def __init__(self, concurrent_after: set[int]) -> None:
        super().__init__()
        self.concurrent_after = concurrent_after
        self.values: list[bytes] = []

    async def write(self, key: str, value: bytes, **options):
        """Write, then overwrite the key if this call is a given one."""
        before = self.entries.get(key)
        outcome = await super().write(key, value, **options)
        if self.entries.get(key) is not before:
            self.values.append(value)
        existing = self.entries.get(key)
        if len(self.calls) in self.concurrent_after and existing is not None:
            self.version += 1
            self.entries[key] = store_module.Entry(key, b"rival", self.version)
        return outcome


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    script=strategies.lists(CALL_OUTCOMES, max_size=5),
    concurrent_after=strategies.sets(strategies.integers(1, 5), max_size=2),
)
def test_answer_agrees_with_the_store(
    script: list[str], concurrent_after: set[int]
) -> None:
    store = ConcurrentWriterStore(concurrent_after)
    store.entries[KEY] = store_module.Entry(KEY, b"old", 1)
    store.script = list(script)
    outcome = asyncio.run(
        store_module.write_with_read_back(
            store, KEY, b"own", expected_version=1
        )
    )
    took_effect = store.values.count(b"own")
    assert took_effect <= 1
    if isinstance(outcome, result.Success):
        assert took_effect == 1
    elif not isinstance(outcome.failure(), errors.OutcomeUnknown):
        assert took_effect == 0


def test_unsent_repeat_does_not_hide_an_unknown_first_try() -> None:
    store = memory_store.MemoryStore()
    store.script = [memory_store.ANSWER_LOST, memory_store.NOT_SENT]
    store.script.append(memory_store.NOT_SENT)
    outcome = asyncio.run(
        store_module.write_with_read_back(
            store, KEY, b"own", expected_version=0
        )
    )
    assert isinstance(outcome.failure(), errors.OutcomeUnknown)
    assert store.entries[KEY].value == b"own"
