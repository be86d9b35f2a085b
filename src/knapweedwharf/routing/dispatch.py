"""Dispatches requests to executors.

Every request has one of three outcomes: ran (with the full answer),
did not run, or unknown.
"""

from __future__ import annotations

from returns import result

from knapweedwharf.adapters import executor as executor_module
from knapweedwharf.adapters import store as store_module
from knapweedwharf import errors
from knapweedwharf import log
from knapweedwharf import metrics as metrics_module
from knapweedwharf.routing import admission as admission_module
from knapweedwharf.routing import at_most_once
from knapweedwharf.routing import attempt
from knapweedwharf.routing import budget
from knapweedwharf.routing import claim as claim_module
from knapweedwharf.routing import metric_definitions
from knapweedwharf.routing import pool as pool_module
from knapweedwharf.routing import request as request_module
from knapweedwharf import settings as settings_module

RAN = "ran"
DID_NOT_RUN = "did-not-run"
UNKNOWN = "unknown"


class Dispatcher:
    """Runs callers' requests on executors.

    :ivar admission: admission control and the queue of waiting requests.
    :ivar claims: claims of requests that run at most once.
    """

    def __init__(
        self,
        *,
        settings: settings_module.Settings,
        store: store_module.Store,
        executor: executor_module.Executor,
        pool: pool_module.Pool,
        metrics: metrics_module.Metrics,
        seed: int,
    ) -> None:
        self._metrics = metrics
        self._log = log.get("dispatch")
        self.admission = admission_module.AdmissionController(
            pool=pool, max_waiting=settings.max_waiting_requests
        )
        self.claims = claim_module.Claims(
            store=store, retention_s=settings.claim_retention_s
        )
        self._runner = attempt.Runner(
            executor=executor,
            pool=pool,
            admission=self.admission,
            retry_budget=budget.RetryBudget(),
            metrics=metrics,
            seed=seed,
        )
        self._at_most_once = at_most_once.AtMostOnce(
            claims=self.claims, runner=self._runner, seed=seed
        )

    @property
    def unsettled(self) -> int:
        """Number of claims whose outcome is not yet stored."""
        return self._at_most_once.unsettled

    async def close(self) -> None:
        """Cancel the writes that the store has not confirmed."""
        await self._at_most_once.close()

    async def run(
        self, request: request_module.Request
    ) -> request_module.Outcome:
        """Run a request and return its outcome."""
        if request.service.idempotent:
            outcome = await self._runner.run(request)
        else:
            outcome = await self._at_most_once.run(request)
        self._record_outcome(request, outcome)
        return outcome

    def _record_outcome(
        self,
        request: request_module.Request,
        outcome: request_module.Outcome,
    ) -> None:
        outcome_name = outcome_label(outcome)
        self._metrics.count(metric_definitions.ENDED[outcome_name])
        self._metrics.gauge(metric_definitions.WAITING, self.admission.waiting)
        self._metrics.gauge(metric_definitions.UNSETTLED, self.unsettled)
        log_event = self._log.debug if outcome_name == RAN else self._log.info
        log_event(
            "request-ended",
            request_id=request.request_id,
            account=request.account.name,
            service=request.service.name,
            outcome=outcome_name,
        )


def outcome_label(outcome: request_module.Outcome) -> str:
    """Return ``ran``, ``did-not-run`` or ``unknown``."""
    if isinstance(outcome, result.Success):
        return RAN
    unknown = isinstance(outcome.failure(), errors.OutcomeUnknown)
    return UNKNOWN if unknown else DID_NOT_RUN
