"""Ways in which an owner loses an executor and all that ran on it."""

from __future__ import annotations

REBORN = "reborn"
"""Another incarnation has taken its id, so it has crashed."""

LAPSED = "lapsed"
"""It did not answer until its lease had ended; it crashed or is cut off."""

ABSENT = "absent"
"""A former owner placed work on it, and it is not listed any more."""

LEFT = "left"
"""It was emptied before, as it drained or its machine was needed."""

UNEXPLAINED = "unexplained"
"""It was lost while no owner followed its entry, and the store has forgotten
the changes of that time; it may have drained or crashed."""
