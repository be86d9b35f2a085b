"""Routes and the HTTP server with its limits."""

from __future__ import annotations

import typing

from tornado import httpserver
from tornado import web

from knapweedwharf.web import configuration
from knapweedwharf.web import job
from knapweedwharf.web import request
from knapweedwharf.web import status

if typing.TYPE_CHECKING:
    from knapweedwharf import node as node_module

_IDLE_TIMEOUT_S = 75.0
_BODY_TIMEOUT_S = 10.0

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


def create(node: node_module.Node) -> httpserver.HTTPServer:
    """Build the server; body and header limits hold while reading."""
    settings = node.settings
    application = web.Application(
        [(path, handler, {"node": node}) for path, handler in ROUTES],
        log_function=lambda handler: None,
    )
    return httpserver.HTTPServer(
        application,
        max_body_size=settings.max_body_bytes,
        max_buffer_size=settings.max_body_bytes + settings.max_header_bytes,
        max_header_size=settings.max_header_bytes,
        idle_connection_timeout=_IDLE_TIMEOUT_S,
        body_timeout=_BODY_TIMEOUT_S,
    )
