"""Candidates of an election with their own paths to an in-memory store."""

from __future__ import annotations

import asyncio
import dataclasses

from returns import result

from knapweedwharf import errors
from knapweedwharf.fleet import capacity
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import model
from standins import fleet_store
from standins import virtual_time

ABLE = capacity.Capacity(cores=2.15, link_bps=200e6)
SLOW_LINK = capacity.Capacity(cores=2.15, link_bps=10e6)
SLOW_CORE = capacity.Capacity(cores=0.52, link_bps=200e6)
WEAKEST = capacity.Capacity(cores=0.12, link_bps=2e6)


class FaultyStore(fleet_store.FakeStore):
    """Counts the leases that were asked for; renewals may be disturbed.

    :ivar late_s: time until the answer of a renewal arrives.
    :ivar lost_requests: number of next renewals that are not carried out.
    :ivar lost_answers: number of next renewals without an answer.
    :ivar late_commit_s: additional time until a commit is answered.
    :ivar hidden_removals: number of next removals left out of watches.
    """

    grants = 0
    late_s = 0.0
    lost_requests = 0
    lost_answers = 0
    late_commit_s = 0.0
    hidden_removals = 0

    async def commit(self, commit: model.Commit, *, timeout_s: float = 0.0):
        """Commit a transaction; its answer may be late."""
        committed = await super().commit(commit, timeout_s=timeout_s)
        await asyncio.sleep(self.late_commit_s)
        return committed

    async def watch(self, prefix: str, **fields):
        """Wait for changes; some removals are never told of."""
        seen = await super().watch(prefix, **fields)
        if isinstance(seen, result.Failure) or not self.hidden_removals:
            return seen
        changes = seen.unwrap()
        events = tuple(e for e in changes.events if isinstance(e, model.Item))
        self.hidden_removals -= len(changes.events) - len(events)
        return result.Success(dataclasses.replace(changes, events=events))

    async def grant(self, ttl_s: float):
        """Grant a lease."""
        self.grants += 1
        return await super().grant(ttl_s)

    async def renew(self, lease_id: int, *, timeout_s: float = 0.0):
        """Renew a lease; the store gets the request at once.

        It doesn't wait for this VM's event loop, as the answer does.
        """
        await self.state.expire()
        is_lost = self.lost_requests > 0
        self.lost_requests -= is_lost
        ttl_s = self.state.leases.get(lease_id, (0.0, 0.0))[1]
        if ttl_s and not is_lost:
            self.state.leases[lease_id] = (clock.elapsed_s() + ttl_s, ttl_s)
        no_answer = is_lost or self.lost_answers > 0
        self.lost_answers -= self.lost_answers > 0
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(fleet_store.ANSWER_S + self.late_s)
                if no_answer:
                    await asyncio.Event().wait()
        except TimeoutError:
            return result.Failure(
                errors.OutcomeUnknown(message="No answer.", remedy="Again.")
            )
        if ttl_s:
            return result.Success(None)
        return result.Failure(
            errors.NotFound(message="Gone.", remedy="Compete again.")
        )


class Candidate:
    """One VM's part in the election, with its own path to the store."""

    def __init__(
        self,
        name: str,
        state: fleet_store.StoreState,
        vm_capacity: capacity.Capacity = ABLE,
    ) -> None:
        self.store = FaultyStore(state)
        self.lost: list[str] = []
        self.election = election_module.Election(
            process_config=model.ProcessConfig(
                name, "dc", "", "", "", "", capacity=vm_capacity
            ),
            store=self.store,
            on_won=lambda _ownership: None,
            on_lost=self.lost.append,
        )

    @property
    def is_owner(self) -> bool:
        """Whether this VM may send orders."""
        return self.election.is_owner


class Fleet:
    """Candidates of one store."""

    def __init__(self) -> None:
        self.state = fleet_store.StoreState()
        self.candidates: list[Candidate] = []

    async def add(
        self, name: str, vm_capacity: capacity.Capacity = ABLE
    ) -> Candidate:
        """Add a candidate and start it."""
        candidate = Candidate(name, self.state, vm_capacity)
        self.candidates.append(candidate)
        await candidate.election.start()
        return candidate

    async def close(self) -> None:
        """Close all candidates."""
        for candidate in self.candidates:
            await candidate.election.close()

    def owner(self) -> Candidate | None:
        """Return the owner, if there is one; fail if there are several."""
        owners = [one for one in self.candidates if one.is_owner]
        assert len(owners) <= 1
        return owners[0] if owners else None

    async def until_owner(self, *, within_s: float) -> Candidate:
        """Return the owner as soon as there is one."""
        async with asyncio.timeout(within_s):
            while (owner := self.owner()) is None:
                await asyncio.sleep(0.01)
        return owner


def run(main, monkeypatch) -> None:
    """Run a test on virtual time with an empty fleet."""
    monkeypatch.setattr(
        clock, "elapsed_s", lambda: asyncio.get_running_loop().time()
    )

    async def whole() -> None:
        fleet = Fleet()
        try:
            await main(fleet)
        finally:
            await fleet.close()

    virtual_time.run(whole())
