"""The data centres that the operator has asked to evacuate.

From the request until it is removed nothing is started on the executors
of a data centre. What runs there runs on. Requests are entries of the
store, so that each VM knows them before it becomes the owner.
"""

from __future__ import annotations

from collections import abc

from knapweedwharf.fleet import confirmation
from knapweedwharf.fleet import model
from knapweedwharf import log

Changed = abc.Callable[[], None]


class Evacuations:
    """The requests that are in force.

    :param evacuation_s: time after a request within which starts must
        cease; 0 if the platform sets no such limit.
    :param age_s: returns the time since the store last confirmed what was
        applied here, in seconds; infinite before the first listing.
    :ivar in_force: revision of the request by data centre.
    """

    def __init__(
        self,
        *,
        store_schema: model.StoreSchema,
        evacuation_s: float,
        age_s: abc.Callable[[], float],
    ) -> None:
        self._store_schema = store_schema
        self._age_s = age_s
        self._log = log.get("evacuations")
        self._revisions: dict[str, int] = {}
        self._subscribers: list[Changed] = []
        self._confirmation = confirmation.Confirmation(
            limit_s=evacuation_s,
            age_s=age_s,
            on_stale=self._log_stale,
            on_confirmed=self._log_confirmed,
        )
        self.in_force: dict[str, int] = {}

    @property
    def age_s(self) -> float:
        """Time since the store last confirmed the requests."""
        return self._age_s()

    def forbids(self, data_centre: str) -> bool:
        """Return whether nothing may be started in a data centre.

        An executor that doesn't say where it is may be in any of them.
        """
        if not data_centre:
            return bool(self.in_force)
        return data_centre in self.in_force

    def subscribe(self, changed: Changed) -> None:
        """Call ``changed`` after each change."""
        self._subscribers.append(changed)

    def unsubscribe(self, changed: Changed) -> None:
        """Stop calling ``changed``."""
        if changed in self._subscribers:
            self._subscribers.remove(changed)

    async def until_confirmed(self) -> bool:
        """Wait while a request may have been missed for too long.

        :returns: whether that took any time.
        """
        return await self._confirmation.wait()

    def _log_stale(self) -> None:
        self._log.warning(
            "evacuations-not-confirmed",
            max_age_s=round(self._confirmation.max_age_s, 3),
        )

    def _log_confirmed(self, after_s: float) -> None:
        self._log.info("evacuations-confirmed", after_s=round(after_s, 3))

    # Entries

    def apply_listing(self, listing: model.Listing) -> None:
        """Apply a listing; requests that it lacks have been removed."""
        requests = {
            item.key: item for item in listing.items if self._covers(item.key)
        }
        changed = [self._apply_request(item) for item in requests.values()]
        for data_centre, revision in list(self.in_force.items()):
            # One that was read before a request says nothing of it.
            is_older = listing.revision < revision
            if not is_older and self._key_of(data_centre) not in requests:
                self._lift(data_centre, listing.revision)
                changed.append(True)
        self._notify(any(changed))

    def apply_changes(self, changes: model.Changes) -> None:
        """Apply changes in the order in which they were made."""
        changed = False
        for happened in changes.events:
            if not self._covers(happened.key):
                continue
            if isinstance(happened, model.Item):
                changed |= self._apply_request(happened)
            else:
                changed |= self._apply_removal(happened)
        self._notify(changed)

    def _covers(self, key: str) -> bool:
        prefix = self._store_schema.evacuation_prefix
        return key.startswith(prefix) and len(key) > len(prefix)

    def _key_of(self, data_centre: str) -> str:
        return self._store_schema.evacuation_prefix + data_centre

    def _data_centre_of(self, key: str) -> str:
        return key[len(self._store_schema.evacuation_prefix) :]

    def _apply_request(self, item: model.Item) -> bool:
        if not self._is_newer(item.key, item.revision):
            return False
        data_centre = self._data_centre_of(item.key)
        try:
            self._store_schema.decode_evacuation(item.value)
        except ValueError as error:
            # The key says all that is needed.
            self._log.warning(
                "evacuation-malformed",
                data_centre=data_centre,
                revision=item.revision,
                why=str(error),
            )
        is_new = data_centre not in self.in_force
        self.in_force[data_centre] = item.revision
        if is_new:
            self._log.warning(
                "evacuation-begun",
                data_centre=data_centre,
                revision=item.revision,
                in_force=len(self.in_force),
            )
        return is_new

    def _apply_removal(self, removal: model.Removal) -> bool:
        if not self._is_newer(removal.key, removal.revision):
            return False
        data_centre = self._data_centre_of(removal.key)
        if data_centre not in self.in_force:
            return False
        self._lift(data_centre, removal.revision)
        return True

    def _is_newer(self, key: str, revision: int) -> bool:
        """Return whether a change follows the known ones, and remember it.

        The store may not tell the revision; then the order of the answers
        counts.
        """
        if 0 < revision <= self._revisions.get(key, 0):
            return False
        if revision:
            self._revisions[key] = revision
        return True

    def _lift(self, data_centre: str, revision: int) -> None:
        del self.in_force[data_centre]
        self._log.warning(
            "evacuation-lifted",
            data_centre=data_centre,
            revision=revision,
            in_force=len(self.in_force),
        )

    def _notify(self, changed: bool) -> None:
        if not changed:
            return
        for subscriber in list(self._subscribers):
            try:
                subscriber()
            except Exception:
                # Starts are checked one by one all the same.
                self._log.exception("evacuation-not-passed-on")
