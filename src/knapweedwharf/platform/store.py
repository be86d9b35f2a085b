"""HTTP client of the platform's key-value store.

Failures: ``Unreachable`` (nothing was done), ``OutcomeUnknown`` (a
transaction may have taken effect or may do so seconds later),
``NotFound`` (the lease has ended or the history was compacted),
``Conflict`` (a transaction's condition did not hold; carries the
current entries).

An odd item hides no other. One without a key is left out; a value that
can't be decoded is empty, and a revision that is none is 0.
"""

from __future__ import annotations

import base64
from collections import abc
import dataclasses
import functools
import json
import typing
import urllib.parse

from returns import result

from knapweedwharf.adapters import transport as transport_module
from knapweedwharf import errors
from knapweedwharf.fleet import model
from knapweedwharf import log
from knapweedwharf.platform import field

REFUSED_STATUSES = frozenset({429, 503})
"""Statuses which guarantee that nothing was done."""

MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Well above a base64-encoded page of 1 MB of items."""

_WATCH_MARGIN_S = 1.0
"""Time beyond the requested wait after which a watch has timed out; also its
longest silence once the response has begun."""

Answer = result.Result[typing.Any, errors.Fault]


@dataclasses.dataclass(frozen=True)
class ConditionFailed(errors.Conflict):
    """A transaction's condition did not hold; nothing was done."""

    mismatch: model.Mismatch

    code = "condition-failed"


def _decoded(decoder: abc.Callable) -> abc.Callable:
    """Decorate a decoder to return a result; it may raise ``Malformed``."""

    @functools.wraps(decoder)
    def decode(*arguments: typing.Any) -> result.Result:
        try:
            return result.Success(decoder(*arguments))
        except field.Malformed as error:
            return _outcome_unknown(f"The store's answer is odd: {error}.")

    return decode


class Store:
    """Client of the platform's key-value store.

    :param timeout_s: default timeout of one call.
    """

    def __init__(self, address: str, *, timeout_s: float) -> None:
        self._base = f"http://{address}"
        self._timeout_s = timeout_s
        self._log = log.get("store")
        self._odd_items: dict[str, int] = {}
        """Number of odd items in the newest answer, by prefix."""
        self._transport = transport_module.HttpTransport(
            max_body_bytes=MAX_ANSWER_BYTES, reuse=True
        )

    def close(self) -> None:
        """Close all connections."""
        self._transport.close()

    async def read(
        self, key: str, *, timeout_s: float = 0.0
    ) -> result.Result[model.Item | None, errors.Fault]:
        """Read one key; the result is None if it does not exist."""
        answer = await self._call(
            "GET", "/kv-key", {"key": key}, timeout_s=timeout_s
        )
        if isinstance(answer, result.Failure):
            if isinstance(answer.failure(), errors.NotFound):
                return result.Success(None)
            return answer
        items, odd = _decode_items([answer.unwrap()])
        self._note_odd_items(key, odd)
        if not items:
            return _outcome_unknown("The store's item has no key.")
        return result.Success(items[0])

    async def list(
        self, prefix: str, *, timeout_s: float = 0.0
    ) -> result.Result[model.Listing, errors.Fault]:
        """Read all entries under a prefix.

        The listing has the revision of the first page, so that a watch
        from there misses no change.

        :param timeout_s: timeout of each page in full.
        """
        items: list[model.Item] = []
        revision = 0
        after = ""
        while True:
            listed = await self.list_page(
                prefix, after=after, timeout_s=timeout_s
            )
            if isinstance(listed, result.Failure):
                return listed
            page = listed.unwrap()
            items.extend(page.items)
            revision = revision or page.revision
            if not page.has_more:
                return result.Success(model.Listing(tuple(items), revision))
            after = page.items[-1].key

    async def list_page(
        self,
        prefix: str,
        *,
        after: str = "",
        timeout_s: float = 0.0,
        silence_factor: float = 1.0,
    ) -> result.Result[model.Listing, errors.Fault]:
        """Read the entries under a prefix that follow a key.

        :param timeout_s: timeout of the page in full; 0 bounds only the
            time without any byte, as a page takes seconds on a slow link.
        :param silence_factor: multiple of the default timeout for which
            the store may be silent.
        """
        query = {"prefix": prefix}
        if after:
            query["after"] = after
        silence_s = silence_factor * self._timeout_s
        answer = await self._call(
            "GET",
            "/kv-range",
            query,
            timeout_s=timeout_s or silence_s,
            silence_s=None if timeout_s else silence_s,
        )
        return answer.bind(
            lambda document: self._decode_page(document, prefix, after)
        )

    @_decoded
    def _decode_page(
        self, document: field.Document, prefix: str, after: str
    ) -> model.Listing:
        rows = _required_rows(document, "items")
        items, odd = _decode_items(rows)
        self._note_odd_items(prefix, odd)
        has_more = bool(document.get("has_more") and rows)
        if has_more and (not items or items[-1].key == after):
            raise field.Malformed("a page does not advance")
        return model.Listing(items, _required(document, "at"), has_more)

    def _note_odd_items(self, prefix: str, odd: int) -> None:
        """Log a change in the number of odd items under a prefix."""
        known = self._odd_items.pop(prefix, 0)
        if odd:
            self._odd_items[prefix] = odd
        if odd != known:
            self._log.warning("store-items-odd", prefix=prefix, items=odd)

    async def watch(
        self,
        prefix: str,
        *,
        after: int,
        wait_s: float,
        margin_s: float = _WATCH_MARGIN_S,
    ) -> result.Result[model.Changes, errors.Fault]:
        """Wait for changes after a revision.

        :param margin_s: time beyond the wait after which the watch has
            timed out.
        :returns: ``NotFound`` if the history after the revision is no longer
            kept; list the prefix again.
        """
        query = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(int(wait_s * 1000)),
        }
        answer = await self._call(
            "GET",
            "/kv-watch",
            query,
            timeout_s=wait_s + margin_s,
            silence_s=_WATCH_MARGIN_S,
        )
        return answer.bind(
            lambda document: self._decode_changes(document, prefix)
        )

    @_decoded
    def _decode_changes(
        self, document: field.Document, prefix: str
    ) -> model.Changes:
        rows = _required_rows(document, "events")
        events, odd = _decode_rows(rows, _decode_event)
        self._note_odd_items(prefix, odd)
        return model.Changes(events, revision=_required(document, "at"))

    async def commit(
        self, commit: model.Commit, *, timeout_s: float = 0.0
    ) -> result.Result[int, errors.Fault]:
        """Commit a transaction and return its revision."""
        document = {
            "expect": [
                {"key": key, "revision": revision}
                for key, revision in commit.expected.items()
            ],
            "write": [_encode_write(write) for write in commit.writes],
            "remove": list(commit.removes),
        }
        answer = await self._call(
            "POST", "/kv-txn", {}, document, timeout_s=timeout_s
        )
        return answer.bind(_decode_revision)

    async def grant(self, ttl_s: float) -> result.Result[int, errors.Fault]:
        """Create a lease and return its id."""
        answer = await self._call(
            "POST", "/kv-lease", {}, {"ttl_ms": int(ttl_s * 1000)}
        )
        return answer.bind(_decode_lease)

    async def renew(
        self, lease_id: int, *, timeout_s: float = 0.0
    ) -> result.Result[None, errors.Fault]:
        """Renew a lease; fails with ``NotFound`` if it has ended."""
        answer = await self._call(
            "POST", f"/kv-keep/{lease_id}", {}, {}, timeout_s=timeout_s
        )
        return answer.map(lambda _body: None)

    async def end(self, lease_id: int) -> result.Result[None, errors.Fault]:
        """Revoke a lease, which removes its keys."""
        path = f"/kv-lease-end/{lease_id}"
        answer = await self._call("DELETE", path, {})
        return answer.map(lambda _body: None)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        document: object = None,
        *,
        timeout_s: float = 0.0,
        silence_s: float | None = None,
    ) -> Answer:
        url = self._base + path
        if query:
            url += "?" + urllib.parse.urlencode(query, safe="/")
        body = b"" if document is None else json.dumps(document).encode()
        answer = await self._transport.exchange(
            method=method,
            url=url,
            headers={"Content-Type": "application/json"},
            body=body,
            timeout_s=timeout_s or self._timeout_s,
            silence_s=silence_s,
        )
        if isinstance(answer, result.Failure):
            # Other idle connections to this host may be dead as well.
            self._transport.close_idle(url)
            return answer
        return _interpret(answer.unwrap())


def _interpret(reply: transport_module.Reply) -> Answer:
    try:
        document = field.parse(reply.body or b"{}")
    except field.Malformed:
        return _outcome_unknown(
            f"The store's response with status {reply.status} is not JSON."
        )
    if reply.status == 200:
        return result.Success(document)
    if reply.status in REFUSED_STATUSES:
        return result.Failure(
            errors.Unreachable(
                message=f"The store refused the call ({reply.status}).",
                remedy="Retry later.",
            )
        )
    if reply.status in (404, 410):
        return result.Failure(
            errors.NotFound(
                message="The key, lease or history does not exist.",
                remedy="List the keys again.",
            )
        )
    if reply.status == 412:
        return result.Failure(_condition_failed(document))
    return _outcome_unknown(
        f"The store responded with the unexpected status {reply.status}."
    )


def _outcome_unknown(message: str) -> result.Failure:
    return result.Failure(
        errors.OutcomeUnknown(
            message=message, remedy="Read the keys before repeating the call."
        )
    )


def _condition_failed(document: dict) -> ConditionFailed:
    rows = document.get("items")
    items, _odd = _decode_items(rows if isinstance(rows, list) else [])
    return ConditionFailed(
        message="Another writer has changed an expected key.",
        remedy="Decide again with the current entries.",
        mismatch=model.Mismatch({item.key: item for item in items}),
    )


def _required(document: field.Document, name: str) -> int:
    return field.whole_of(document.get(name))


def _required_rows(document: field.Document, name: str) -> list:
    if document.get(name) is None:
        raise field.Malformed(f"field {name} is missing")
    return field.rows(document, name)


@_decoded
def _decode_revision(document: field.Document) -> int:
    return _required(document, "revision")


@_decoded
def _decode_lease(document: field.Document) -> int:
    return _required(document, "lease")


def _decode_items(rows: list) -> tuple[tuple[model.Item, ...], int]:
    """Decode items; return those with a key, and how many rows are odd."""
    return _decode_rows(rows, _decode_item)


def _decode_rows(
    rows: list,
    decode: abc.Callable[[dict, str], tuple[model.Item | model.Removal, int]],
) -> tuple[tuple[typing.Any, ...], int]:
    found = []
    odd = 0
    for row in rows:
        key = row.get("key") if isinstance(row, dict) else None
        if not isinstance(key, str):
            odd += 1
            continue
        decoded, odd_fields = decode(row, key)
        found.append(decoded)
        odd += odd_fields
    return tuple(found), odd


def _decode_event(
    row: dict, key: str
) -> tuple[model.Item | model.Removal, int]:
    if not row.get("deleted"):
        return _decode_item(row, key)
    revision, odd = _decode_row_revision(row)
    return model.Removal(key, revision), odd


def _decode_item(row: dict, key: str) -> tuple[model.Item, int]:
    """Decode an item; return it and how many of its fields are odd."""
    revision, odd = _decode_row_revision(row)
    try:
        value = base64.b64decode(row.get("value") or "")
    except (TypeError, ValueError):
        # Its reader tells that nothing can be decoded.
        value = b""
        odd += 1
    return model.Item(key, value, revision), odd


def _decode_row_revision(row: dict) -> tuple[int, int]:
    try:
        return field.whole_of(row.get("revision", 0)), 0
    except field.Malformed:
        # Counts as older than all that is known of the key.
        return 0, 1


def _encode_write(write: model.Write) -> dict[str, object]:
    document: dict[str, object] = {
        "key": write.key,
        "value": base64.b64encode(write.value).decode(),
    }
    if write.lease_id:
        document["lease"] = write.lease_id
    return document
