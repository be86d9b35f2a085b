"""A pass-through proxy: the least overhead that an entry VM can have."""

from __future__ import annotations

import asyncio

import click
from tornado import httpclient
from tornado import simple_httpclient
from tornado import web


class ProxyHandler(web.RequestHandler):
    """Forwards the request body to the target and returns its answer."""

    def initialize(self, target: str) -> None:
        """Store the target; create a client with default settings."""
        self.target = target
        self.client = simple_httpclient.SimpleAsyncHTTPClient()

    async def post(self, path: str) -> None:
        """Forward one request."""
        request = httpclient.HTTPRequest(
            self.target + path,
            method="POST",
            body=self.request.body,
            headers={"X-Attempt-Id": "a", "X-Request-Id": "r"},
        )
        answer = await self.client.fetch(request)
        self.write(answer.body)


async def _serve(port: int, target: str) -> None:
    application = web.Application(
        [(r"(/.*)", ProxyHandler, {"target": target})],
        log_function=lambda handler: None,
    )
    application.listen(port, "127.0.0.1")
    await asyncio.Event().wait()


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--target", required=True)
def main(port: int, target: str) -> None:
    """Run the proxy until the process is stopped."""
    asyncio.run(_serve(port, target))


if __name__ == "__main__":
    main()
