"""HTTP server: routes and limits."""

from __future__ import annotations

import typing

from tornado import httpserver
from tornado import iostream
from tornado import web

from knapweedwharf.web import base
from knapweedwharf.web import configuration
from knapweedwharf.web import job
from knapweedwharf.web import request
from knapweedwharf.web import status
from knapweedwharf.web import tls

if typing.TYPE_CHECKING:
    from knapweedwharf import node as node_module

_HEADER_TIMEOUT_S = 30.0
_CHUNK_BYTES = 16_384
_UNLIMITED = 1 << 62
_TOO_MANY_CONNECTIONS_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    + f"{base.OUTCOME_HEADER}: did-not-run\r\n".encode()
    + b"Retry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

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


class Server(httpserver.HTTPServer):
    """HTTP server with a limit on open connections."""

    def initialize(
        self,
        request_callback: web.Application,
        *,
        max_connections: int,
        **options: typing.Any,
    ) -> None:
        """Accept the limit in addition to Tornado's options."""
        super().initialize(request_callback, **options)
        self._max_connections = max_connections
        self._open_connections = 0

    def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Serve a connection; respond 503 when too many are open."""
        if self._open_connections >= self._max_connections:
            stream.write(_TOO_MANY_CONNECTIONS_RESPONSE).add_done_callback(
                lambda _f: stream.close()
            )
            return
        self._open_connections += 1
        super().handle_stream(stream, address)

    def on_close(self, server_conn: object) -> None:
        """Update the count of open connections."""
        self._open_connections -= 1
        super().on_close(server_conn)

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
    return Server(
        application,
        ssl_options=tls.server_context(settings).unwrap(),
        max_connections=settings.max_connections,
        max_body_size=_UNLIMITED,
        max_buffer_size=_CHUNK_BYTES + settings.max_header_bytes,
        max_header_size=settings.max_header_bytes,
        chunk_size=_CHUNK_BYTES,
        idle_connection_timeout=_HEADER_TIMEOUT_S,
    )
