"""Store adapter for the etcd v3 JSON gateway protocol.

Each call is one POST with base64-encoded keys and values. The etcd v3
API reference describes the JSON documents.
"""

from __future__ import annotations

import base64
import functools
import json
import math
import typing

from returns import result

from knapweedwharf.adapters import store
from knapweedwharf.adapters import transport
from knapweedwharf import codec
from knapweedwharf import errors
from knapweedwharf import settings as settings_module

_MAX_ANSWER_BYTES = 16 * 1024 * 1024
_WATCH_LIFETIME_S = 3600.0


@store.STORES.register("etcd-json")
def create(settings: settings_module.Settings) -> EtcdStore:
    """Build the adapter from the node's settings."""
    return EtcdStore(
        base_url=settings.platform_url, timeout_s=settings.store_timeout_s
    )


class EtcdStore:
    """Client of the JSON gateway; implements :class:`store.Store`."""

    def __init__(self, *, base_url: str, timeout_s: float) -> None:
        self._base_url = base_url.rstrip("/")
        self._timeout_s = timeout_s
        self._transport = transport.HttpTransport(
            max_body_bytes=_MAX_ANSWER_BYTES
        )

    def close(self) -> None:
        """Close connections."""
        self._transport.close()

    async def get(
        self, key: str
    ) -> result.Result[store.Entry | None, errors.Fault]:
        """Read one key; None if it is absent."""
        answer = await self._call("/v3/kv/range", {"key": _encode(key)})
        return answer.bind(functools.partial(_parse, _first_entry))

    async def list(
        self, prefix: str, *, after_key: str = "", limit: int = 0
    ) -> result.Result[store.Page, errors.Fault]:
        """Read the keys of a prefix after ``after_key``, in key order."""
        document = _prefix_range(prefix)
        if after_key:
            document["key"] = _encode_bytes(after_key.encode() + b"\0")
        if limit:
            document["limit"] = str(limit)
        answer = await self._call("/v3/kv/range", document)
        return answer.bind(functools.partial(_parse, _page))

    async def write(
        self,
        key: str,
        value: bytes,
        *,
        expected_version: int,
        lease_id: int = 0,
    ) -> result.Result[store.Entry, errors.Fault]:
        """Write if the key still has the expected version."""
        if len(value) > store.MAX_VALUE_BYTES:
            return result.Failure(_too_large(key, len(value)))
        put = {"key": _encode(key), "value": _encode_bytes(value)}
        if lease_id:
            put["lease"] = str(lease_id)
        answer = await self._transact(
            key, expected_version, {"requestPut": put}
        )
        return answer.map(
            lambda version: store.Entry(key=key, value=value, version=version)
        )

    async def delete(
        self, key: str, *, expected_version: int
    ) -> result.Result[None, errors.Fault]:
        """Delete if the key still has the expected version."""
        request = {"requestDeleteRange": {"key": _encode(key)}}
        answer = await self._transact(key, expected_version, request)
        return answer.map(lambda _version: None)

    async def _transact(
        self, key: str, expected_version: int, request: dict
    ) -> result.Result[int, errors.Fault]:
        document = {
            "compare": [
                {
                    "key": _encode(key),
                    "target": "MOD",
                    "result": "EQUAL",
                    "modRevision": str(expected_version),
                }
            ],
            "success": [request],
        }
        answer = await self._call("/v3/kv/txn", document)
        return answer.bind(functools.partial(_parse, _txn_version)).bind(
            lambda version: _require_success(version, key)
        )

    async def grant(self, ttl_s: float) -> result.Result[int, errors.Fault]:
        """Grant a lease of whole seconds, rounded up; return its id."""
        document = {"TTL": str(math.ceil(ttl_s))}
        answer = await self._call("/v3/lease/grant", document)
        return answer.bind(
            functools.partial(_parse, lambda reply: int(reply["ID"]))
        )

    async def keep_alive(
        self, lease_id: int
    ) -> result.Result[None, errors.Fault]:
        """Renew a lease; ``Fenced`` if it has expired."""
        document = {"ID": str(lease_id)}
        answer = await self._call("/v3/lease/keepalive", document)
        return answer.bind(functools.partial(_parse, _lease_ttl_s)).bind(
            _require_lease
        )

    async def revoke(self, lease_id: int) -> result.Result[None, errors.Fault]:
        """Revoke a lease and delete its keys."""
        document = {"ID": str(lease_id)}
        answer = await self._call("/v3/lease/revoke", document)
        return answer.map(lambda _reply: None)

    async def watch(
        self,
        prefix: str,
        *,
        after_version: int,
        callback: store.WatchCallback,
    ) -> errors.Fault:
        """Report changes until the stream ends; return the reason."""
        document = {
            "create_request": {
                **_prefix_range(prefix),
                "start_revision": str(after_version + 1),
            }
        }
        reader = _WatchReader(callback)
        outcome = await self._transport.exchange(
            method="POST",
            url=self._base_url + "/v3/watch",
            body=json.dumps(document).encode(),
            timeout_s=_WATCH_LIFETIME_S,
            on_chunk=reader.feed,
        )
        if reader.fault is not None:
            return reader.fault
        if isinstance(outcome, result.Failure):
            return outcome.failure()
        return errors.Unreachable(
            message="The store ended the watch.",
            remedy="List the keys again and watch from the version listed.",
        )

    async def _call(
        self, path: str, document: dict
    ) -> result.Result[typing.Any, errors.Fault]:
        return await self._transport.post_json(
            self._base_url + path, document, timeout_s=self._timeout_s
        )


class _StreamRefused(Exception):
    """Aborts the stream; the reader's ``fault`` holds the reason."""


class _WatchReader:
    """Splits the streamed response into lines and reports each event.

    :ivar fault: why the stream was aborted, or None.
    """

    def __init__(self, callback: store.WatchCallback) -> None:
        self._callback = callback
        self._buffer = b""
        self.fault: errors.Fault | None = None

    def feed(self, chunk: bytes) -> None:
        """Process the next bytes of the stream."""
        self._buffer += chunk
        *lines, self._buffer = self._buffer.split(b"\n")
        if len(self._buffer) > _MAX_ANSWER_BYTES:
            self._abort(_malformed_response("a line exceeds the size limit"))
        for line in lines:
            if line.strip():
                self._report(line)

    def _report(self, line: bytes) -> None:
        try:
            answer = json.loads(line)["result"]
            compacted = int(answer.get("compact_revision", 0))
            canceled = bool(answer.get("canceled"))
            changed, deleted = _events(answer)
            version = int(answer["header"]["revision"])
        except codec.UNDECODABLE as error:
            self._abort(_malformed_response(repr(error)))
        if compacted:
            self._abort(_compacted(compacted))
        if canceled:
            self._abort(_malformed_response("the watch was cancelled"))
        if changed or deleted:
            self._callback(changed, deleted, version)

    def _abort(self, fault: errors.Fault) -> None:
        self.fault = fault
        raise _StreamRefused(fault.message)


def _events(answer: dict) -> tuple[list[store.Entry], list[str]]:
    changed = []
    deleted = []
    for event in answer.get("events", []):
        if event.get("type") == "DELETE":
            deleted.append(_decode(event["kv"]["key"]).decode())
        else:
            changed.append(_entry(event["kv"]))
    return changed, deleted


def _parse(
    parse: typing.Callable[[typing.Any], typing.Any], answer: typing.Any
) -> result.Result[typing.Any, errors.Fault]:
    try:
        return result.Success(parse(answer))
    except codec.UNDECODABLE as error:
        return result.Failure(_malformed_response(repr(error)))


def _malformed_response(text: str) -> errors.OutcomeUnknown:
    return errors.OutcomeUnknown(
        message=f"Cannot parse the store's response: {text[:200]}.",
        remedy="Check that platform_url names an etcd v3 JSON gateway.",
    )


def _compacted(version: int) -> errors.NotFound:
    return errors.NotFound(
        message=f"The store has compacted the changes before {version}.",
        remedy="List the keys again and watch from the version listed.",
    )


def _too_large(key: str, size_bytes: int) -> errors.InvalidField:
    return errors.InvalidField(
        message=f"A value holds at most {store.MAX_VALUE_BYTES} bytes.",
        remedy="Split the change into smaller changes.",
        source="store",
        field=key,
        value=f"{size_bytes} bytes",
    )


def _encode(key: str) -> str:
    return _encode_bytes(key.encode())


def _encode_bytes(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _decode(value: str) -> bytes:
    return base64.b64decode(value)


def _prefix_range(prefix: str) -> dict[str, str]:
    start = prefix.encode()
    end = start[:-1] + bytes([start[-1] + 1])
    return {"key": _encode_bytes(start), "range_end": _encode_bytes(end)}


def _entry(document: dict) -> store.Entry:
    return store.Entry(
        key=_decode(document["key"]).decode(),
        value=_decode(document.get("value", "")),
        version=int(document["mod_revision"]),
    )


def _page(answer: dict) -> store.Page:
    return store.Page(
        entries=[_entry(document) for document in answer.get("kvs", [])],
        version=int(answer["header"]["revision"]),
    )


def _first_entry(answer: dict) -> store.Entry | None:
    entries = _page(answer).entries
    return entries[0] if entries else None


def _txn_version(answer: dict) -> int | None:
    if not answer.get("succeeded"):
        return None
    return int(answer["header"]["revision"])


def _require_success(
    version: int | None, key: str
) -> result.Result[int, errors.Fault]:
    if version is not None:
        return result.Success(version)
    return result.Failure(
        errors.Conflict(
            message=f"{key} has changed since it was read.",
            remedy="Read it again and apply the change to the new value.",
        )
    )


def _lease_ttl_s(answer: dict) -> int:
    return int(answer.get("result", answer).get("TTL", 0))


def _require_lease(ttl_s: int) -> result.Result[None, errors.Fault]:
    if ttl_s > 0:
        return result.Success(None)
    return result.Failure(
        errors.Fenced(
            message="The lease has expired.",
            remedy="Acquire a new lease before acting again.",
        )
    )
