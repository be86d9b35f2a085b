"""Progress of running attempts, as reported by their workers.

Declared run times are unreliable; the rate of progress predicts the end
of a run far better, and shows that it is stalled.
"""

from __future__ import annotations

import dataclasses

WINDOW_S = 2.0
"""Time after which the start of the measured rate moves on; older progress
is a poor predictor, as workers slow down and recover within seconds."""

MIN_SHARE = 0.04
"""Reports are whole percents: a rate from less progress than this is off
by a quarter."""

MIN_INTERVAL_S = 0.3
"""Several workers of a gang may report at the same time; a rate needs
reports at least this far apart."""

FRESH_S = 2.5
"""Age at which a report no longer counts; busy workers report each second."""

SAMPLE_AFTER_S = 1.5
"""Time over which the rates of runs are compared; two reports."""

MIN_SAMPLE_SHARE = 0.03
"""Reports are whole percents: a rate from less is off by a third."""


@dataclasses.dataclass(slots=True)
class _Track:
    """Reports on one attempt; the share of a gang is its slowest member's.

    :ivar anchor: (time, share) that the rate is measured from.
    :ivar next_anchor: the next anchor.
    :ivar last: the newest report.
    :ivar advanced_s: time of the last report with a higher share.
    :ivar first: the first report.
    :ivar is_sampled: its rate was compared with that of other runs.
    """

    anchor: tuple[float, float]
    next_anchor: tuple[float, float]
    last: tuple[float, float]
    advanced_s: float
    first: tuple[float, float]
    is_sampled: bool = False


class Progress:
    """Reported progress of the attempts of a data centre."""

    def __init__(self) -> None:
        self._tracks: dict[str, _Track] = {}
        self._members: dict[str, dict[str, tuple[float, float]]] = {}

    def record(
        self, attempt_id: str, share: float, now_s: float, worker_id: str = ""
    ) -> None:
        """Record the share that an attempt has done, from 0 to 1.

        The workers of a gang are not equally fast, and it ends with the
        slowest of those that report.
        """
        share = self._slowest_share(attempt_id, share, now_s, worker_id)
        point = (now_s, share)
        track = self._tracks.get(attempt_id)
        if track is None:
            self._tracks[attempt_id] = _Track(
                point, point, point, now_s, point
            )
            return
        if share < track.last[1]:
            # A worker of the gang that is further behind reports now.
            self._tracks[attempt_id] = _Track(
                point, point, point, now_s, point
            )
            return
        if share > track.last[1]:
            track.advanced_s = now_s
        track.last = point
        if now_s - track.next_anchor[0] >= WINDOW_S:
            track.anchor, track.next_anchor = track.next_anchor, point

    def _slowest_share(
        self, attempt_id: str, share: float, now_s: float, worker_id: str
    ) -> float:
        members = self._members.setdefault(attempt_id, {})
        members[worker_id] = (now_s, share)
        if len(members) == 1:
            return share
        return min(
            known
            for at_s, known in members.values()
            if now_s - at_s <= FRESH_S
        )

    def forget(self, attempt_id: str) -> None:
        """Drop an attempt that has ended."""
        self._tracks.pop(attempt_id, None)
        self._members.pop(attempt_id, None)

    def remaining_s(self, attempt_id: str, now_s: float) -> float | None:
        """Return the remaining run time at the present rate of progress.

        None if there are too few reports or the attempt is stalled.
        """
        track = self._tracks.get(attempt_id)
        if track is None:
            return None
        grown = track.last[1] - track.anchor[1]
        took_s = track.last[0] - track.anchor[0]
        if grown < MIN_SHARE or took_s < MIN_INTERVAL_S:
            return None
        left_s = (1.0 - track.last[1]) * took_s / grown
        return max(0.0, left_s - (now_s - track.last[0]))

    def sample(self, attempt_id: str) -> float | None:
        """Return a run's rate in shares a second, once.

        It is taken a fixed time after the first report, so that slow and
        fast runs that started together are compared over the same time.
        None before, and while the run makes no progress.
        """
        track = self._tracks.get(attempt_id)
        if track is None or track.advanced_s < track.last[0]:
            return None
        return _sample(track, track.last, SAMPLE_AFTER_S)

    def sample_end(self, attempt_id: str, now_s: float) -> float | None:
        """Return the rate of a run that ends now, if it has no sample."""
        track = self._tracks.get(attempt_id)
        if track is None:
            return None
        return _sample(track, (now_s, 1.0), MIN_INTERVAL_S)

    def percent_s(self, attempt_id: str) -> float:
        """Return how long an attempt takes for a percent; 0 if unknown."""
        track = self._tracks.get(attempt_id)
        if track is None or track.last[1] <= track.first[1]:
            return 0.0
        took_s = track.advanced_s - track.first[0]
        return 0.01 * took_s / (track.last[1] - track.first[1])

    def stalled_s(self, attempt_id: str) -> float:
        """Return for how long an attempt has reported no progress."""
        track = self._tracks.get(attempt_id)
        return track.last[0] - track.advanced_s if track else 0.0


def _sample(
    track: _Track, until: tuple[float, float], min_took_s: float
) -> float | None:
    """Return a run's rate from its first report to a point, once."""
    took_s = until[0] - track.first[0]
    grown = until[1] - track.first[1]
    if track.is_sampled or took_s < min_took_s or grown < MIN_SAMPLE_SHARE:
        return None
    track.is_sampled = True
    return grown / took_s
