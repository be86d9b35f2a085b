"""This VM's copy of the operator's desired state, and its age."""

from __future__ import annotations

from collections import abc

from knapweedwharf.fleet import clock
from knapweedwharf.fleet import evacuations as evacuations_module
from knapweedwharf.fleet import model
from knapweedwharf.fleet import watcher as watcher_module
from knapweedwharf import log

MAX_WATCH_WAIT_S = 1.5
"""Limits for how long a dead connection hides a change."""

WATCH_WAIT_SHARE = 0.3
"""Share of the time within which a removed key must stop working, or starts in
an evacuated data centre must cease, that a watch may wait; while it waits, its
copy grows older."""

AGE_MARGIN_S = 0.7
"""Part of the revocation time reserved for the answer's way back."""


class DesiredState:
    """Follows the desired state and ignores older revisions.

    :ivar current: newest known state, or None before the first.
    :ivar waves: maintenance waves requested by the operator, by number.
    :ivar evacuations: data centres in which nothing may be started.
    """

    def __init__(
        self,
        *,
        store,
        store_schema: model.StoreSchema,
        bounds: model.TimeLimits,
    ) -> None:
        self._store_schema = store_schema
        self._max_age_s = bounds.revocation_s - AGE_MARGIN_S
        self._log = log.get("desired")
        self._confirmed_s: float | None = None
        self.current: model.DesiredSnapshot | None = None
        self.waves: dict[int, model.MaintenanceWave] = {}
        self._wave_revisions: dict[str, int] = {}
        self.watcher = watcher_module.Watcher(
            store,
            store_schema.operator_prefix,
            wait_s=_watch_wait_s(bounds),
            on_listing=self._apply_listing,
            on_changes=self._apply_changes,
        )
        self.evacuations = evacuations_module.Evacuations(
            store_schema=store_schema,
            evacuation_s=bounds.evacuation_s,
            age_s=lambda: self.watcher.age_s,
        )

    async def start(self) -> None:
        """Start following the store."""
        await self.watcher.start()

    async def close(self) -> None:
        """Stop following the store."""
        await self.watcher.close()

    @property
    def age_s(self) -> float:
        """Time since the store last confirmed the current state."""
        ages = [self.watcher.age_s]
        if self._confirmed_s is not None:
            ages.append(clock.elapsed_s() - self._confirmed_s)
        return min(ages)

    @property
    def is_fresh(self) -> bool:
        """Whether the state is recent enough to accept keys by it."""
        return self.current is not None and self.age_s < self._max_age_s

    def advisor_terms(self, route_name: str) -> model.AdvisorTerms:
        """Return the terms of a queue's advisor; zeros if it has none."""
        routes = self.current.routes if self.current else ()
        terms = (r.advice for r in routes if r.name == route_name)
        return next(filter(None, terms), model.AdvisorTerms())

    def mark_confirmed(self, sent_s: float) -> None:
        """Record that a transaction found the current state unchanged.

        :param sent_s: when the transaction was sent.
        """
        self._confirmed_s = sent_s

    def apply_item(self, item: model.Item) -> None:
        """Apply an entry returned by a transaction."""
        self._apply_items((item,))

    def _apply_listing(self, listing: model.Listing) -> None:
        self.evacuations.apply_listing(listing)
        self._apply_items(listing.items)

    def _apply_changes(self, changes: model.Changes) -> None:
        self.evacuations.apply_changes(changes)
        self._apply_items(changes.items)

    def _apply_items(self, items: abc.Iterable[model.Item]) -> None:
        for item in items:
            if item.key.startswith(self._store_schema.wave_prefix):
                self._apply_wave(item)
            if item.key != self._store_schema.config_key:
                continue
            known = self.current.revision if self.current else 0
            if item.revision <= known:
                continue
            self._decode(item)

    def _apply_wave(self, item: model.Item) -> None:
        if item.revision <= self._wave_revisions.get(item.key, 0):
            return
        self._wave_revisions[item.key] = item.revision
        try:
            wave = self._store_schema.decode_wave(item.value)
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
            desired = self._store_schema.decode_desired(
                item.value, item.revision
            )
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


def _watch_wait_s(bounds: model.TimeLimits) -> float:
    limits_s = [bounds.revocation_s]
    if bounds.evacuation_s:
        limits_s.append(bounds.evacuation_s)
    return min(MAX_WATCH_WAIT_S, WATCH_WAIT_SHARE * min(limits_s))
