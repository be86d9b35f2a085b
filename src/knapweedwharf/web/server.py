"""HTTP server: routes and limits."""

from __future__ import annotations

import typing

from tornado import web

from knapweedwharf.web import base
from knapweedwharf.web import configuration
from knapweedwharf.web import connections
from knapweedwharf.web import job
from knapweedwharf.web import limited_server
from knapweedwharf.web import limits as limits_module
from knapweedwharf.web import request
from knapweedwharf.web import status
from knapweedwharf.web import tls

if typing.TYPE_CHECKING:
    from knapweedwharf import node as node_module

ROUTES = (
    (r"/healthz", status.HealthHandler),
    (r"/readyz", status.ReadyHandler),
    (r"/v1/status", status.StatusHandler),
    (r"/v1/services/([a-z0-9-]+)", request.RequestHandler),
    (r"/v1/requests/([^/]+)", request.OutcomeHandler),
    (r"/v1/jobs", job.JobsHandler),
    (r"/v1/jobs/([a-z0-9-]+)", job.JobHandler),
    (r"/v1/jobs/([a-z0-9-]+)/explain", job.ExplainHandler),
    (r"/v1/config", configuration.ConfigurationHandler),
    (r"/v1/config/history", configuration.HistoryHandler),
)


class Server(limited_server.LimitedServer):
    """HTTP server of a node."""

    def disable_keep_alive(self) -> None:
        """Close each connection after its next response."""
        self.conn_params.no_keep_alive = True


def create(node: node_module.Node) -> Server:
    """Build the server.

    Tornado's own limit on the body size is disabled. Handlers enforce
    theirs while the body is received, so that they can respond with the
    reason for a refusal.
    """
    settings = node.settings
    application = web.Application(
        [(path, handler, {"node": node}) for path, handler in ROUTES],
        log_function=lambda handler: None,
        default_handler_class=base.NoRouteHandler,
        default_handler_args={"node": node},
    )
    limits = limits_module.Limits(
        max_connections=settings.max_connections,
        max_header_bytes=settings.max_header_bytes,
    )
    return Server(
        application,
        ssl_options=tls.server_context(settings).unwrap(),
        limits=limits,
        connections=connections.Connections(
            limits,
            name="node",
            budget=node.body_budget,
            sender=node.metrics,
        ),
    )
