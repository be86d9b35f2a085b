"""Deep or huge values of other programs are faults, not errors."""

from __future__ import annotations

import json

import pytest
from returns import result

from knapweedwharf.adapters import directory
from knapweedwharf.adapters import etcd
from knapweedwharf.adapters import store as store_module
from knapweedwharf.adapters import transport
from knapweedwharf.adapters import worker
from knapweedwharf.configuration import revision
from knapweedwharf import errors
from knapweedwharf.scheduling import inbox
from knapweedwharf.scheduling import record

DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_TEXTS = [
    b"",
    b"\xff",
    b"null",
    b"7",
    b"[7]",
    b'["a"]',
    b'{"kind": "submit"}',
    b'{"kind": "submit", "job_id": "j", "job": 7}',
    b'{"job": [7]}',
    DEEP,
    b'{"job":' + DEEP + b"}",
    b"9" * 5_000,
]


def _shown(value: object) -> str:
    return repr(value)[:30]


@pytest.mark.parametrize("text", ODD_TEXTS, ids=_shown)
def test_an_odd_entry_of_the_inbox_is_none(text):
    assert inbox.decode(store_module.Entry("k", text, 7)) is None


@pytest.mark.parametrize("text", ODD_TEXTS, ids=_shown)
def test_an_odd_descriptor_is_none(text):
    assert record.parse_descriptor(text.decode(errors="replace")) is None


@pytest.mark.parametrize("text", ODD_TEXTS, ids=_shown)
def test_an_odd_list_of_vms_is_a_fault(text):
    parsed = directory._parse(transport.Reply(200, {}, text))
    assert isinstance(parsed, result.Failure)


@pytest.mark.parametrize("text", [DEEP, b'{"a":' + DEEP + b"}", b"x\x01"])
def test_an_odd_value_of_the_configuration_is_a_fault(text):
    unpacked = revision.unpack(text, lambda document: document["a"])
    assert isinstance(unpacked.failure(), errors.OutcomeUnknown)


@pytest.mark.parametrize(
    "line",
    [
        DEEP + b"\n",
        b'{"result": {"compact_revision": 1e999}}\n',
        b'{"result": {"header": {"revision": 1e999}}}\n',
        json.dumps({"result": {"compact_revision": "9" * 5_000}}).encode()
        + b"\n",
    ],
    ids=_shown,
)
def test_an_odd_line_of_a_watch_ends_it(line):
    reader = etcd._WatchReader(lambda *_seen: None)
    with pytest.raises(etcd._StreamRefused):
        reader.feed(line)
    assert isinstance(reader.fault, errors.OutcomeUnknown)


@pytest.mark.parametrize("document", [None, 7, "a", [], {"results": 7}])
def test_an_odd_answer_of_a_worker_is_a_fault(document):
    parsed = worker._parse(worker._Results, document)
    assert isinstance(parsed.failure(), errors.OutcomeUnknown)
