"""Health, readiness and status of a node."""

from __future__ import annotations

from knapweedwharf.web import base


class HealthHandler(base.Handler):
    """``GET /healthz``: liveness of the process."""

    requires_authentication = False

    async def get(self) -> None:
        """Respond 200 in every state of the node."""
        self.start()
        self.answer({"alive": True})


class ReadyHandler(base.Handler):
    """``GET /readyz``: readiness for the load balancer."""

    requires_authentication = False

    async def get(self) -> None:
        """Respond 200 while the node serves and has a configuration."""
        self.start()
        ready = self.node.state == "serving" and self.node.feed.known
        self.answer({"ready": ready}, status=200 if ready else 503)


class StatusHandler(base.Handler):
    """``GET /v1/status``: this node and its peers."""

    async def get(self) -> None:
        """Return the status as this node sees it."""
        self.caller(operator=True)
        self.answer(self.node.status())
