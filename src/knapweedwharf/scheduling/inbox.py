"""Store-backed queue of submissions and cancellations for the owner.

Any VM creates the entries in the store (create if absent). A job is
accepted once its entry exists, whether or not there is an owner; the
owner deletes the entry once the job's record is written.
"""

from __future__ import annotations

import dataclasses
import json

from returns import result

from knapweedwharf.adapters import store as store_module
from knapweedwharf import codec
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf import log

SUBMIT = "submit"
CANCEL = "cancel"


@dataclasses.dataclass(frozen=True)
class Item:
    """One entry of the inbox.

    :ivar version: version of the entry in the store, for its deletion.
    """

    key: str
    version: int
    kind: str
    job_id: str
    job: model.JobSpec | None = None


def prefix_of(data_centre: str) -> str:
    """Return the key prefix of a data centre's inbox."""
    return f"/knapweedwharf/dc/{data_centre}/inbox/"


def key_of(data_centre: str, job_id: str, kind: str) -> str:
    """Return the key of a job's entry; ``kind`` is SUBMIT or CANCEL."""
    return f"{prefix_of(data_centre)}{job_id}.{kind}"


def decode(entry: store_module.Entry) -> Item | None:
    """Decode an entry of the inbox; None if it has another form."""
    try:
        return _decode(entry)
    except codec.UNDECODABLE as error:
        log.get("inbox").error(
            "inbox-entry-malformed",
            key=entry.key,
            version=entry.version,
            why=str(error),
        )
        return None


def _decode(entry: store_module.Entry) -> Item:
    document = json.loads(entry.value)
    job = document.get("job")
    return Item(
        key=entry.key,
        version=entry.version,
        kind=document["kind"],
        job_id=document["job_id"],
        job=codec.decode(model.JobSpec, job) if job else None,
    )


async def submit(
    store: store_module.Store, job: model.JobSpec
) -> result.Result[store_module.Entry, errors.Fault]:
    """Write a submission to the store."""
    document = {
        "kind": SUBMIT,
        "job_id": job.job_id,
        "job": dataclasses.asdict(job),
    }
    return await _put(store, job.data_centre, document)


async def cancel(
    store: store_module.Store, *, data_centre: str, job_id: str
) -> result.Result[store_module.Entry, errors.Fault]:
    """Write a cancellation to the store."""
    document = {"kind": CANCEL, "job_id": job_id}
    return await _put(store, data_centre, document)


async def _put(
    store: store_module.Store, data_centre: str, document: dict
) -> result.Result[store_module.Entry, errors.Fault]:
    key = key_of(data_centre, document["job_id"], document["kind"])
    return await store_module.write_with_read_back(
        store,
        key,
        json.dumps(document, sort_keys=True).encode(),
        expected_version=store_module.ABSENT_VERSION,
    )
