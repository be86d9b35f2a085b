"""How far running attempts are, as their workers report it.

Declared run times are guesses; the pace of a run tells much better when
it ends, and that it stands still.
"""

from __future__ import annotations

import dataclasses

WINDOW_S = 2.0
"""An older pace says little: workers turn slow and recover in seconds."""

LEAST_SHARE = 0.04
"""Reports are whole percents; a pace from less is off by a quarter."""

LEAST_S = 0.3
"""Reports of several workers on one gang may come at once."""


@dataclasses.dataclass(slots=True)
class _Track:
    """Reports on one attempt.

    :ivar anchor: (time, share) that the pace is reckoned from.
    :ivar later: the next anchor.
    :ivar last: the newest report.
    :ivar moved_s: when the share was last seen to grow.
    """

    anchor: tuple[float, float]
    later: tuple[float, float]
    last: tuple[float, float]
    moved_s: float


class Progress:
    """Reported progress of the attempts of a data centre."""

    def __init__(self) -> None:
        self._tracks: dict[str, _Track] = {}

    def seen(self, attempt_id: str, share: float, now_s: float) -> None:
        """Take in that an attempt has done a share, from 0 to 1."""
        point = (now_s, share)
        track = self._tracks.get(attempt_id)
        if track is None:
            self._tracks[attempt_id] = _Track(point, point, point, now_s)
            return
        if share > track.last[1]:
            track.moved_s = now_s
        if share < track.last[1]:
            # A gang's workers report one after the other.
            return
        track.last = point
        if now_s - track.later[0] >= WINDOW_S:
            track.anchor, track.later = track.later, point

    def forget(self, attempt_id: str) -> None:
        """Forget an attempt that holds no places any more."""
        self._tracks.pop(attempt_id, None)

    def left_s(self, attempt_id: str, now_s: float) -> float | None:
        """Return how long an attempt still runs at its present pace.

        None where too little is known, or where it stands still.
        """
        track = self._tracks.get(attempt_id)
        if track is None:
            return None
        grown = track.last[1] - track.anchor[1]
        took_s = track.last[0] - track.anchor[0]
        if grown < LEAST_SHARE or took_s < LEAST_S:
            return None
        left_s = (1.0 - track.last[1]) * took_s / grown
        return max(0.0, left_s - (now_s - track.last[0]))

    def still_s(self, attempt_id: str) -> float:
        """Return for how long its reports have shown no growth."""
        track = self._tracks.get(attempt_id)
        return track.last[0] - track.moved_s if track else 0.0
