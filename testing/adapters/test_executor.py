"""An executor's answer is accepted only with the call's attempt id."""

from __future__ import annotations

import asyncio

import pytest
from returns import result

from knapweedwharf.adapters import executor as executor_module
from knapweedwharf import errors
from knapweedwharf import settings as settings_module
from testing import test_settings

ATTEMPT = "attempt-1"
CALL = executor_module.Call(
    request_id="request-1",
    attempt_id=ATTEMPT,
    service="check",
    body=b"body",
    timeout_s=5.0,
)


def _run(
    *headers: str, status: str = "200 OK", body: str = "whole"
) -> result.Result:
    """Return the outcome of a call that gets this response."""

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"body")
        lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}"]
        text = "\r\n".join([*lines, *headers]) + "\r\n\r\n" + body
        writer.write(text.encode("latin-1"))
        writer.close()

    async def run() -> result.Result:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        settings = settings_module.load(test_settings.VALID_SETTINGS).unwrap()
        executor = executor_module.HttpExecutor(settings)
        try:
            return await executor.run(f"http://127.0.0.1:{port}", CALL)
        finally:
            executor.close()
            server.close()

    return asyncio.run(run())


FOREIGN_ID_HEADERS = {
    "no id": [],
    "another id": ["X-Attempt-Id: attempt-2"],
    "two ids": [f"X-Attempt-Id: {ATTEMPT}", "X-Attempt-Id: attempt-2"],
}


@pytest.mark.parametrize("name", FOREIGN_ID_HEADERS)
@pytest.mark.parametrize("status", ["200 OK", "503 Service Unavailable"])
def test_foreign_answer_is_unknown(name: str, status: str) -> None:
    outcome = _run(*FOREIGN_ID_HEADERS[name], status=status)
    assert isinstance(outcome.failure(), errors.OutcomeUnknown)


def test_own_answer_is_whole() -> None:
    answer = _run(
        f"X-Attempt-Id: {ATTEMPT}",
        "X-Running: 5",
        "X-Leaving: 1",
        "Content-Type: text/plain",
    ).unwrap()
    assert answer.body == b"whole"
    assert answer.content_type == "text/plain"
    assert answer.signal == executor_module.Signal(running=5, leaving=True)


def test_refusal_carries_the_signal() -> None:
    outcome = _run(
        f"X-Attempt-Id: {ATTEMPT}", "X-Running: 8", status="503 Busy"
    )
    refusal = outcome.failure()
    assert isinstance(refusal, executor_module.Refusal)
    assert refusal.signal.running == 8


def test_too_long_answer_is_unknown() -> None:
    body = "x" * (executor_module.MAX_ANSWER_BYTES + 1)
    outcome = _run(f"X-Attempt-Id: {ATTEMPT}", body=body)
    assert isinstance(outcome.failure(), errors.OutcomeUnknown)


@pytest.mark.parametrize("running", ["many", "-1", "1" * 50])
def test_malformed_signals_are_passed_over(running: str) -> None:
    answer = _run(
        f"X-Attempt-Id: {ATTEMPT}",
        f"X-Running: {running}",
        "Content-Type: t\u00e9xt",
    ).unwrap()
    assert answer.signal.running is None
    assert answer.content_type == "application/octet-stream"
