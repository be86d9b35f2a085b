"""Read and change the operators' configuration folder over HTTP."""

from __future__ import annotations

import typing

import marshmallow
from marshmallow import fields
from marshmallow import validate
from returns import result

from knapweedwharf.configuration import audit
from knapweedwharf.configuration import publish
from knapweedwharf import errors
from knapweedwharf.web import base

MAX_HISTORY_RECORDS = 500


class ChangeSchema(marshmallow.Schema):
    """Body of ``POST /v1/config``."""

    base_revision = fields.Int(
        strict=True, required=True, validate=validate.Range(min=0)
    )
    changed = fields.Dict(
        keys=fields.Str(),
        values=fields.Str(allow_none=True),
        required=True,
    )
    message = fields.Str(load_default="", validate=validate.Length(max=500))
    force = fields.Bool(load_default=False, truthy={True}, falsy={False})
    dry_run = fields.Bool(load_default=False, truthy={True}, falsy={False})


class ConfigurationHandler(base.Handler):
    """``/v1/config``."""

    async def get(self) -> None:
        """Return the files in force."""
        self.caller(operator=True)
        feed = self.node.feed
        self.answer(
            {
                "revision": feed.current.revision,
                "confirmed": feed.confirmed,
                "files": feed.files,
            }
        )

    async def post(self) -> None:
        """Publish a change as the next revision; respond once durable."""
        caller = self.caller(operator=True)
        document = self.document(ChangeSchema())
        change = publish.Change(actor=caller.account, **document)
        published = await self.node.publisher.publish(change)
        if isinstance(published, result.Failure):
            self._refuse_change(published.failure())
            return
        accepted = published.unwrap()
        answer = {
            "revision": accepted.number,
            "accepted": accepted.revision is not None,
            "dry_run": change.dry_run,
        }
        if accepted.revision is not None:
            answer["write_id"] = accepted.revision.write_id
            answer["peers_in_force"] = await self.node.membership.push(
                accepted.revision
            )
            answer["peers"] = len(self.node.membership.peers)
        self.answer(answer)

    def _refuse_change(self, failure: typing.Any) -> None:
        if not isinstance(failure, list):
            self.refuse(failure)
            return
        faults = [fault.to_dict() for fault in failure]
        self.answer({"error": faults[0], "faults": faults}, status=400)


class HistoryHandler(base.Handler):
    """``GET /v1/config/history``: the audit trail."""

    async def get(self) -> None:
        """List accepted revisions after ``?after``, oldest first.

        If the store is unreachable, only the revisions in this node's
        memory are listed and ``complete`` is false.
        """
        self.caller(operator=True)
        after = self._whole_number_argument("after", 0)
        limit = max(
            1,
            min(
                MAX_HISTORY_RECORDS, self._whole_number_argument("limit", 100)
            ),
        )
        read = await audit.read(self.node.store, after=after, limit=limit)
        if isinstance(read, result.Failure):
            self._answer_from_memory(after, limit)
            return
        trail = read.unwrap()
        self.answer(
            {
                "revisions": [record.to_dict() for record in trail.records],
                "next_after": trail.next_after,
                "first_kept": trail.first_kept,
                "complete": True,
            }
        )

    def _answer_from_memory(self, after: int, limit: int) -> None:
        records = [
            audit.record_of(revision).to_dict()
            for revision in self.node.feed.history
            if revision.number > after
        ]
        self.answer(
            {
                "revisions": records[:limit],
                "next_after": None,
                "first_kept": None,
                "complete": False,
            }
        )

    def _whole_number_argument(self, name: str, default: int) -> int:
        text = self.get_query_argument(name, str(default))
        if not text.isascii() or not text.isdigit() or len(text) > 15:
            raise base.Refused(
                errors.InvalidField(
                    message="Not a whole number.",
                    remedy="Use digits only.",
                    source="query",
                    field=name,
                    value=text[:40],
                )
            )
        return int(text)
