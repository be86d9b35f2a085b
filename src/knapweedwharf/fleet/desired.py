"""The operator's desired state on this VM, and how old it is."""

from __future__ import annotations

from collections import abc

from knapweedwharf.fleet import clock
from knapweedwharf.fleet import model
from knapweedwharf.fleet import watcher as watcher_module
from knapweedwharf import log

WATCH_WAIT_S = 1.5
"""Under a third of the time in which a removed key must be dead."""

AGE_MARGIN_S = 0.7
"""Kept from the revocation time for the answer to be under way."""


class DesiredState:
    """Follows the desired state; it never goes back to an older one.

    :ivar current: the newest known, or None before the first.
    :ivar waves: waves of maintenance that the operator has asked for, by
        number.
    """

    def __init__(
        self, *, store, catalogue: model.Catalogue, bounds: model.Bounds
    ) -> None:
        self._catalogue = catalogue
        self._max_age_s = bounds.revocation_s - AGE_MARGIN_S
        self._log = log.get("desired")
        self._confirmed_s: float | None = None
        self.current: model.Desired | None = None
        self.waves: dict[int, model.Wave] = {}
        self._wave_revisions: dict[str, int] = {}
        self.watcher = watcher_module.Watcher(
            store,
            catalogue.operator_prefix,
            wait_s=WATCH_WAIT_S,
            on_listing=lambda listing: self._take(listing.items),
            on_changes=lambda changes: self._take(changes.items),
        )

    async def start(self) -> None:
        """Begin to follow."""
        await self.watcher.start()

    async def close(self) -> None:
        """Stop following."""
        await self.watcher.close()

    @property
    def age_s(self) -> float:
        """How long ago the store confirmed the current state."""
        ages = [self.watcher.age_s]
        if self._confirmed_s is not None:
            ages.append(clock.elapsed_s() - self._confirmed_s)
        return min(ages)

    @property
    def is_fresh(self) -> bool:
        """Whether keys may still be accepted by it."""
        return self.current is not None and self.age_s < self._max_age_s

    def confirmed(self, sent_s: float) -> None:
        """Note that a transaction found the current state unchanged."""
        self._confirmed_s = sent_s

    def take(self, item: model.Item) -> None:
        """Take an entry that a transaction's answer brought."""
        self._take((item,))

    def _take(self, items: abc.Iterable[model.Item]) -> None:
        for item in items:
            if item.key.startswith(self._catalogue.wave_prefix):
                self._take_wave(item)
            if item.key != self._catalogue.config_key:
                continue
            known = self.current.revision if self.current else 0
            if item.revision <= known:
                continue
            self._decode(item)

    def _take_wave(self, item: model.Item) -> None:
        if item.revision <= self._wave_revisions.get(item.key, 0):
            return
        self._wave_revisions[item.key] = item.revision
        try:
            wave = self._catalogue.decode_wave(item.value)
        except ValueError as error:
            self._log.error(
                "wave-malformed",
                key=item.key,
                revision=item.revision,
                why=str(error),
            )
            return
        self.waves[wave.number] = wave
        self._log.info(
            "wave-asked-for",
            wave=wave.number,
            revision=item.revision,
            machines=len(wave.machine_ids),
            within_s=wave.within_s,
            most_at_once=wave.most_at_once,
        )

    def _decode(self, item: model.Item) -> None:
        try:
            desired = self._catalogue.decode_desired(item.value, item.revision)
        except ValueError as error:
            self._log.error(
                "desired-state-malformed",
                revision=item.revision,
                why=str(error),
            )
            return
        self.current = desired
        self._log.info(
            "desired-state-in-force",
            revision=desired.revision,
            version=desired.version,
            routes=len(desired.routes),
            accounts=len(desired.accounts),
        )
