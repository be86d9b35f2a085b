"""Retention of ended jobs, which bounds the size of the pages."""

from __future__ import annotations

from collections import abc

from knapweedwharf.charts import chart
from knapweedwharf.core import engine as engine_module
from knapweedwharf import settings as settings_module


def expired(
    records: abc.Iterable[engine_module.JobRecord],
    *,
    settings: settings_module.Settings,
    now_s: float,
) -> list[str]:
    """Return the ids of ended jobs over the retention's age or count."""
    final = chart.load("job").final
    ended = sorted(
        (record for record in records if record.state in final),
        key=lambda record: record.ended_s,
        reverse=True,
    )
    oldest_s = now_s - settings.job_retention_s
    return [
        record.job.job_id
        for index, record in enumerate(ended)
        if index >= settings.job_retention_count or record.ended_s < oldest_s
    ]
