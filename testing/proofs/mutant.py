"""An entry VM with one protection mechanism disabled.

``python -m testing.proofs.mutant NAME serve ...`` runs ``knapweedwharf
serve`` with the mutant NAME applied. The tests use it to show that the
resulting failure is detected.
"""

from __future__ import annotations

import dataclasses
import sys
import typing

from returns import result

from knapweedwharf.adapters import executor as executor_module
from knapweedwharf.adapters import store as store_module
from knapweedwharf.cli import main as cli_main
from knapweedwharf.configuration import revision as revision_module
from knapweedwharf.core import reclaim as reclaim_module
from knapweedwharf import drain as drain_module
from knapweedwharf import errors
from knapweedwharf import registry
from knapweedwharf.routing import claim as claim_module
from knapweedwharf.routing import health as health_module
from knapweedwharf.routing import pool as pool_module
from knapweedwharf.scheduling import gang as gang_module

Patch = typing.Callable[[], None]
MUTANTS: registry.Registry[Patch] = registry.Registry(subject="mutant")


@MUTANTS.register("no-claim")
def no_claim() -> None:
    """Forward a request without a claim in the store."""

    async def acquire(_claims, claim):
        key = claim_module.key_of(claim.account, claim.request_id)
        entry = store_module.Entry(key=key, value=claim.encode(), version=0)
        return result.Success(entry)

    claim_module.Claims.acquire = acquire


@MUTANTS.register("no-correlation")
def no_correlation() -> None:
    """Accept any answer on the connection, whatever its attempt id."""
    check = executor_module._check

    def take_any(reply, call):
        name = executor_module.ATTEMPT_ID_HEADER.lower()
        headers = {**reply.headers, name: call.attempt_id}
        return check(dataclasses.replace(reply, headers=headers), call)

    executor_module._check = take_any


@MUTANTS.register("no-unknown")
def no_unknown() -> None:
    """Report an unknown outcome as a request that did not run."""
    run = executor_module.HttpExecutor.run

    async def run_or_not(executor, address, call):
        outcome = await run(executor, address, call)
        return outcome.alt(_as_unreachable)

    executor_module.HttpExecutor.run = run_or_not


def _as_unreachable(fault: errors.Fault) -> errors.Fault:
    if isinstance(fault, errors.OutcomeUnknown):
        return errors.Unreachable(message=fault.message, remedy=fault.remedy)
    return fault


@MUTANTS.register("no-leaving")
def no_leaving() -> None:
    """Ignore an executor's own signal that it is leaving."""
    health_module.Health.is_leaving = lambda _health, _now_s: False


@MUTANTS.register("believe-empty-list")
def believe_empty_list() -> None:
    """Drop VMs as soon as they are missing from the list of VMs."""
    pool_module.UNLISTED_KEEP_S = 0.0
    pool_module.SUSPECT_LIST_KEEP_S = 0.0


@MUTANTS.register("no-drain")
def no_drain() -> None:
    """Shut down without waiting for requests in flight."""

    async def finish(_drain) -> None:
        return None

    drain_module.Drain._drain_gracefully = finish


@MUTANTS.register("no-position")
def no_position() -> None:
    """Overwrite an existing revision of the same number."""

    async def append(store, revision):
        key = revision_module.key_of(revision.number)
        found = await store.get(key)
        if isinstance(found, result.Failure):
            return found
        entry = found.unwrap()
        return await store_module.write_with_read_back(
            store,
            key,
            revision.encode(),
            expected_version=entry.version if entry else 0,
        )

    revision_module.append = append


@MUTANTS.register("no-reclaim")
def no_reclaim() -> None:
    """Never preempt borrowers for a guarantee."""
    reclaim_module.Reclaim._preempt = lambda *_arguments: False


@MUTANTS.register("no-whole-gang")
def no_whole_gang() -> None:
    """Continue a start although a member of the gang refused."""
    order_all = gang_module.GangRunner._order_all

    async def order_some(runner, gang, kind, lease_s):
        await order_all(runner, gang, kind, lease_s)

    gang_module.GangRunner._order_all = order_some


def main() -> None:
    """Apply the mutant and run the command line."""
    name = sys.argv.pop(1)
    MUTANTS.get(name)()
    cli_main.run()


if __name__ == "__main__":
    main()
