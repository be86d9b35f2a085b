"""Hands what work with precedence used on to the next owner.

Answers the load after a take-over or an outage of the store: a new owner
knows only what waits, and that is work without precedence, as callers of
the other kind were refused or give up early. Without the headroom it
would fill the pool before they are back.
"""

from __future__ import annotations

import asyncio
from collections import abc

from returns import result

from knapweedwharf import codec
from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.fleet import background
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import records
from knapweedwharf.fleet import versioned_value
from knapweedwharf import log

READ_TIMEOUT_S = 0.5
"""Fifty times the store's usual answer time; the take-over waits for it."""

WRITE_INTERVAL_S = 2.0
"""A fifth of the time over which the use is averaged."""

CHANGED_SHARE = 0.2
"""A smaller change of an average is less than its usual error."""

MAX_AGE_S = 60.0
"""Six times the time over which the use is averaged; older averages would
have faded, had the owner gone on."""


class DemandRecord(background.Background):
    """Stores the averages of the engines' headrooms, and reads them once.

    :param engines: by service.
    :param tell: passes an event to a service's engine.
    """

    def __init__(
        self,
        *,
        store,
        ownership: election_module.Ownership,
        engines: abc.Mapping[str, engine_module.Engine],
        tell: event.EventSink,
    ) -> None:
        self._store = store
        self._ownership = ownership
        self._engines = engines
        self._tell = tell
        self._stored: dict[str, tuple[float, float]] = {}
        self._revision = 0
        self._log = log.get("demand-record").bind(epoch=ownership.epoch)

    async def start(self) -> None:
        """Read what the former owner stored, then start storing."""
        await self._recall()
        await super().start()

    async def _recall(self) -> None:
        read = await self._store.read(
            records.DEMAND_KEY, timeout_s=READ_TIMEOUT_S
        )
        if isinstance(read, result.Failure):
            self._log.warning("demand-not-read", why=read.failure().code)
            return
        item = read.unwrap()
        if item is None:
            return
        self._revision = item.revision
        try:
            averages, at_s = records.load_demand(item.value)
        except codec.UNDECODABLE as error:
            self._log.error("demand-malformed", why=str(error))
            return
        age_s = clock.steady_s() - clock.steady_at(at_s)
        is_used = age_s <= MAX_AGE_S
        self._log.info(
            "demand-recalled",
            age_s=round(age_s, 3),
            used=is_used,
            mean_accelerators={s: round(a[0], 1) for s, a in averages.items()},
        )
        for service, average in averages.items() if is_used else ():
            self._tell(service, event.DemandRecalled(*average))

    async def _run(self) -> None:
        value = versioned_value.VersionedValue(
            self._store,
            records.DEMAND_KEY,
            epoch_revision=self._ownership.revision,
            revision=self._revision,
        )
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            averages = {
                service: _rounded(engine.state.headroom.averages)
                for service, engine in self._engines.items()
            }
            if not _has_changed(self._stored, averages):
                continue
            dumped = records.dump_demand(averages, round(clock.unix_s(), 3))
            written = await value.write(dumped)
            if isinstance(written, result.Success):
                self._stored = averages
            else:
                self._log.info("demand-not-stored", why=written.failure().code)


def _rounded(averages: tuple[float, float]) -> tuple[float, float]:
    return round(averages[0], 1), round(averages[1], 1)


def _has_changed(
    stored: dict[str, tuple[float, float]],
    averages: dict[str, tuple[float, float]],
) -> bool:
    """Tell whether a service's mean use has changed by a notable share."""
    for service, (mean, _mean_square) in averages.items():
        known = stored.get(service, (0.0, 0.0))[0]
        if abs(mean - known) > max(1.0, CHANGED_SHARE * known):
            return True
    return False
