"""A malformed response of the store is returned as a typed fault."""

from __future__ import annotations

import asyncio

import pytest
from returns import result

from knapweedwharf.adapters import etcd
from knapweedwharf.adapters import store as store_module
from knapweedwharf import errors


def _store(answer: object) -> etcd.EtcdStore:
    store = etcd.EtcdStore(base_url="http://127.0.0.1:9", timeout_s=1.0)

    async def call(_path: str, _document: dict) -> result.Result:
        return result.Success(answer)

    store._call = call
    return store


@pytest.mark.parametrize(
    "answer",
    [
        None,
        [],
        "text",
        {"kvs": 3},
        {"kvs": [{}], "header": {"revision": "1"}},
        {"kvs": [{"key": "%%%", "mod_revision": "1"}], "header": {}},
        {"kvs": [{"key": "/w==", "mod_revision": "x"}]},
        {"succeeded": True, "header": {"revision": None}},
        {"result": []},
    ],
)
def test_malformed_answer_is_a_fault(answer: object) -> None:
    async def calls() -> list[result.Result]:
        store = _store(answer)
        return [
            await store.list("/p/"),
            await store.keep_alive(1),
            await store.grant(1.0),
            await store.write("/k", b"v", expected_version=0),
        ]

    for outcome in asyncio.run(calls()):
        assert isinstance(outcome.failure(), errors.Fault)


def test_too_large_value_is_refused_before_it_is_sent() -> None:
    store = etcd.EtcdStore(base_url="http://127.0.0.1:9", timeout_s=1.0)
    value = b"x" * (store_module.MAX_VALUE_BYTES + 1)
    outcome = asyncio.run(store.write("/k", value, expected_version=0))
    assert isinstance(outcome.failure(), errors.InvalidField)
    assert "1000001" in outcome.failure().value


@pytest.mark.parametrize(
    ("line", "kind"),
    [
        (b"not json\n", errors.OutcomeUnknown),
        (b'{"result": 3}\n', errors.OutcomeUnknown),
        (b'{"result": {"canceled": true}}\n', errors.OutcomeUnknown),
        (
            b'{"result": {"header": {"revision": "9"}, "canceled": true,'
            b' "compact_revision": "7"}}\n',
            errors.NotFound,
        ),
    ],
)
def test_watch_line_of_no_use_ends_the_watch(line: bytes, kind) -> None:
    reader = etcd._WatchReader(lambda *_seen: None)
    with pytest.raises(etcd._StreamRefused):
        reader.feed(line)
    assert isinstance(reader.fault, kind)


def test_created_message_and_cut_lines_are_no_events() -> None:
    seen = []
    reader = etcd._WatchReader(lambda *event: seen.append(event))
    reader.feed(b'{"result": {"header": {"revision": "5"}, "created": tr')
    reader.feed(b'ue}}\n{"result": {"header": {"revision": "6"}, "events": ')
    reader.feed(b'[{"kv": {"key": "L2s=", "mod_revision": "6"}}]}}\n')
    assert [(e[0].key, v) for e, _deleted, v in seen] == [("/k", 6)]
