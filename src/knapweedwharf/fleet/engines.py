"""Creates the scheduling engines of an owner, one for each service."""

from __future__ import annotations

from knapweedwharf.core import engine as engine_module
from knapweedwharf.core import event
from knapweedwharf.core import model
from knapweedwharf.fleet import clock
from knapweedwharf.fleet import policy


class EngineFactory:
    """Creates engines that share an epoch and a configuration.

    :param epoch: the owner's epoch; makes attempt ids unique to it.
    """

    def __init__(
        self, *, epoch: int, configuration: model.Configuration
    ) -> None:
        self._epoch = epoch
        self._configuration = configuration

    def create(self, service: str) -> engine_module.Engine:
        """Return a new engine for a service's pool."""
        engine = engine_module.Engine(
            data_centre=service,
            attempt_prefix=f"{service}-{self._epoch}",
            policy=policy.ENGINE_POLICY,
        )
        configured = event.ConfigurationChanged(self._configuration)
        engine.handle(configured, now_s=clock.steady_s())
        return engine
