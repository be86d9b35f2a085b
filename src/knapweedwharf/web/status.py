"""Health and status of a node."""

from __future__ import annotations

from knapweedwharf.web import base


class HealthHandler(base.Handler):
    """``GET /healthz``: the process answers."""

    needs_caller = False

    async def get(self) -> None:
        """Answer always."""
        self.start()
        self.answer({"alive": True})


class ReadyHandler(base.Handler):
    """``GET /readyz``: the balancer may send callers here."""

    needs_caller = False

    async def get(self) -> None:
        """Answer 200 while serving by a known configuration."""
        self.start()
        ready = self.node.state == "serving" and self.node.feed.known
        self.answer({"ready": ready}, status=200 if ready else 503)


class StatusHandler(base.Handler):
    """``GET /v1/status``: this node and the peers it hears."""

    async def get(self) -> None:
        """Return the node's view."""
        self.caller(operator=True)
        self.answer(self.node.status())
