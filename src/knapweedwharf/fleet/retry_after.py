"""When callers whose calls were refused are asked to come back.

Answers the load after an outage of the store: all callers that were
refused meanwhile return beside the usual ones. The longer the outage was,
the more of them there are, and the longer they are spread.
"""

from __future__ import annotations

import math
import zlib

MIN_S = 1
"""The shortest time that the header of a refusal can name, save none."""

MAX_S = 30
"""An outage that lasts longer is noticed by people; its end should be
noticed by callers."""

RETURN_SHARE = 0.25
"""Share of the outage over which its callers return; they then come at most
four times as often as usual, beside the usual ones."""

TRY_SHARE = 0.5
"""Share of a caller's time that it may wait; the rest is for its next try."""


def retry_after_s(call_id: str, *, away_s: float, left_s: float) -> int:
    """Return after how many whole seconds a caller is to come back.

    The time is drawn evenly by the call's id, so callers that were
    refused together return apart.

    :param call_id: what tells calls apart, such as the job's id.
    :param away_s: for how long the store has not answered; 0 if only this
        call was refused.
    :param left_s: time until the caller's deadline.
    """
    window_s = min(RETURN_SHARE * away_s, TRY_SHARE * left_s, MAX_S)
    choices = max(MIN_S, int(window_s))
    return MIN_S + zlib.crc32(call_id.encode()) * choices // 2**32


def freed_room_s(call_id: str, wait_s: float) -> int:
    """Return when a caller is to come back for room that others free.

    Callers return apart, over half as long again as the wait.

    :param wait_s: time until the room is expected to be free.
    """
    spread = 1.0 + zlib.crc32(call_id.encode()) / 2**33
    return max(MIN_S, math.ceil(min(MAX_S, wait_s * spread)))
