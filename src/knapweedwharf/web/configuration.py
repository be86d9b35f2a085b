"""The operators' folder over HTTP."""

from __future__ import annotations

import marshmallow
from marshmallow import fields
from marshmallow import validate
from returns import result

from knapweedwharf.web import base


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


class ConfigurationHandler(base.Handler):
    """``/v1/config``."""

    async def get(self) -> None:
        """Return the files in force."""
        self.caller(operator=True)
        feed = self.node.feed
        self.answer({"revision": feed.current.revision, "files": feed.files})

    async def post(self) -> None:
        """Make a change the next revision; answered once durable."""
        caller = self.caller(operator=True)
        change = self.document(ChangeSchema())
        published = await self.node.feed.publish(
            base_revision=change["base_revision"],
            changed=change["changed"],
            actor=caller.account,
            message=change["message"],
        )
        if isinstance(published, result.Failure):
            self._refuse_change(published.failure())
            return
        revision = published.unwrap()
        await self.node.membership.push(revision)
        self.answer({"revision": revision.number})

    def _refuse_change(self, failure) -> None:
        if not isinstance(failure, list):
            self.refuse(failure)
            return
        faults = [fault.to_dict() for fault in failure]
        self.answer({"error": faults[0], "faults": faults}, status=400)


class HistoryHandler(base.Handler):
    """``GET /v1/config/history``: the audit trail."""

    async def get(self) -> None:
        """List accepted revisions, oldest first."""
        self.caller(operator=True)
        revisions = [
            {
                "revision": revision.number,
                "revision_before": revision.number - 1,
                "actor": revision.actor,
                "at_s": revision.at_s,
                "message": revision.message,
                "files": sorted(revision.changed),
            }
            for revision in self.node.feed.history
        ]
        self.answer({"revisions": revisions})
