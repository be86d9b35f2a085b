"""In-memory fakes for the routing tests: a store and executors."""

from __future__ import annotations

import asyncio
import random
import time

from returns import result

from knapweedwharf.adapters import directory
from knapweedwharf.adapters import executor as executor_module
from knapweedwharf.adapters import store as store_module
from knapweedwharf.core import model
from knapweedwharf import errors
from knapweedwharf import metrics
from knapweedwharf.routing import admission
from knapweedwharf.routing import at_most_once
from knapweedwharf.routing import attempt
from knapweedwharf.routing import budget
from knapweedwharf.routing import claim
from knapweedwharf.routing import pool
from knapweedwharf.routing import request

CHECK = model.ServiceSpec(name="check", urgency="urgent", timeout_s=5.0)
BOOKING = model.ServiceSpec(
    name="booking", urgency="urgent", idempotent=False, timeout_s=5.0
)
ACCOUNT = model.AccountSpec(name="counter", token_sha256="0" * 64)


def unknown() -> result.Result:
    """Return the failure of a call that was sent but not answered."""
    return result.Failure(errors.OutcomeUnknown(message="cut", remedy=""))


def unreachable() -> result.Result:
    """Return the failure of a call that was not sent."""
    return result.Failure(errors.Unreachable(message="none", remedy=""))


class Store:
    """Store in memory; a call may fail before or after it takes effect.

    :param generator: if given, calls fail at random.
    :ivar lost_answers: number of next writes that take effect, but whose
        answer is lost.
    :ivar outage: every call fails before it takes effect.
    """

    def __init__(self, generator: random.Random | None = None) -> None:
        self._random = generator
        self.entries: dict[str, store_module.Entry] = {}
        self.version = 0
        self.grants = 0
        self.lost_answers = 0
        self.outage = False

    async def _maybe_fail(self) -> result.Result | None:
        if self._random is None:
            await asyncio.sleep(0)
            return unreachable() if self.outage else None
        await asyncio.sleep(self._random.choice([0, 0, 0.001]))
        draw = self._random.random()
        if self.outage or draw < 0.1:
            return unknown() if draw < 0.05 else unreachable()
        if draw < 0.25:
            self.lost_answers += 1
        return None

    async def get(self, key: str) -> result.Result:
        """Read a key; None if absent."""
        failed = await self._maybe_fail()
        return failed or result.Success(self.entries.get(key))

    async def write(
        self, key: str, value: bytes, *, expected_version: int, lease_id=0
    ) -> result.Result:
        """Write a key if its version is the expected one."""
        failed = await self._maybe_fail()
        if failed is not None:
            return failed
        known = self.entries.get(key)
        if (known.version if known else 0) != expected_version:
            return result.Failure(errors.Conflict(message="", remedy=""))
        self.version += 1
        entry = store_module.Entry(key, value, self.version)
        self.entries[key] = entry
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return unknown()
        return result.Success(entry)

    async def grant(self, _ttl_s: float) -> result.Result:
        """Grant a lease."""
        failed = await self._maybe_fail()
        self.grants += 1
        return failed or result.Success(self.grants)


class Executor:
    """Fake of the executor client that records what each executor ran.

    :ivar script: outcomes of the next calls: ``ran``, ``refused``,
        ``unsent``, ``cut before`` or ``cut after``. In the last two the
        connection breaks before or after the execution. Calls beyond
        the script run.
    :ivar executed: calls that were executed.
    :ivar arrivals: address of each call that reached an executor.
    :ivar leaving: addresses whose signal says that they leave.
    :ivar dead: addresses that cannot be reached.
    """

    def __init__(self, *script: str) -> None:
        self.script = list(script)
        self.executed: list[executor_module.Call] = []
        self.arrivals: list[str] = []
        self.probes: list[str] = []
        self.leaving: set[str] = set()
        self.dead: set[str] = set()
        self.delay_s = 0.0
        self.running = 0

    async def run(
        self, address: str, call: executor_module.Call
    ) -> result.Result:
        """Run a call with the next outcome of the script."""
        await asyncio.sleep(0)
        fault = self.script.pop(0) if self.script else "ran"
        if fault == "unsent" or address in self.dead:
            return unreachable()
        self.arrivals.append(address)
        if fault == "refused":
            return result.Failure(
                executor_module.Refusal(
                    message="full", remedy="", retry_after_s=1.0
                )
            )
        if fault == "cut before":
            return unknown()
        self.executed.append(call)
        self.running += 1
        try:
            await asyncio.sleep(self.delay_s)
        finally:
            self.running -= 1
        if fault == "cut after":
            return unknown()
        return result.Success(self._answer(address, call))

    def _answer(
        self, address: str, call: executor_module.Call
    ) -> executor_module.Answer:
        return executor_module.Answer(
            status=200,
            content_type="text/plain",
            body=b"answer to " + call.body,
            signal=self._signal(address),
        )

    def _signal(self, address: str) -> executor_module.Signal:
        return executor_module.Signal(
            running=0, leaving=address in self.leaving
        )

    async def probe(self, address: str, *, timeout_s: float) -> result.Result:
        """Return the signal of the executor."""
        del timeout_s
        await asyncio.sleep(0)
        self.probes.append(address)
        if address in self.dead:
            return unreachable()
        return result.Success(self._signal(address))


def make_vm(name: str, **changed) -> directory.Vm:
    """Return an executor VM of the platform's list."""
    fields = {"data_centre": "here", "address": name, **changed}
    return directory.Vm(vm_id=name, kind="executor", **fields)


class Clock:
    """Clock that a test advances."""

    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        """Return the current time."""
        return self.now_s


class Node:
    """Routing of one entry VM; several may share a store and executors."""

    def __init__(
        self,
        executor: Executor,
        store: Store | None = None,
        *,
        executors: int = 2,
        seed: int = 1,
        max_waiting: int = 64,
        clock=time.monotonic,
    ) -> None:
        self.pool = pool.Pool(
            node_id=f"node-{seed}", data_centre="here", seed=seed, clock=clock
        )
        names = [f"executor-{n}" for n in range(executors)]
        self.pool.set_listed([make_vm(name) for name in names])
        self.admission = admission.AdmissionController(
            pool=self.pool, max_waiting=max_waiting
        )
        self.runner = attempt.Runner(
            executor=executor,
            pool=self.pool,
            admission=self.admission,
            retry_budget=budget.RetryBudget(),
            metrics=metrics.Metrics(None),
            seed=seed,
        )
        self.at_most_once = at_most_once.AtMostOnce(
            claims=claim.Claims(store=store or Store(), retention_s=86_400.0),
            runner=self.runner,
            seed=seed,
        )


def make_request(
    service: model.ServiceSpec = CHECK,
    *,
    key: str = "key",
    body: bytes = b"body",
    account: model.AccountSpec = ACCOUNT,
    timeout_s: float = 5.0,
) -> request.Request:
    """Return a request with a deadline from now."""
    return request.Request(
        request_id=key,
        account=account,
        service=service,
        body=body,
        deadline_s=time.monotonic() + timeout_s,
        has_key=True,
    )
