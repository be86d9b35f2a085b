"""Interpreter of the state charts in this package.

sismic reads and validates the YAML; a step is then a table look-up,
which is cheap enough for thousands of jobs.
"""

from __future__ import annotations

import functools
from importlib import resources

from sismic import io as sismic_io
from sismic import model as sismic_model


class UnexpectedEvent(ValueError):
    """The chart has no transition for this event in this state."""


class Chart:
    """One state chart.

    :param text: YAML in sismic's format, flat states only.
    """

    def __init__(self, text: str) -> None:
        statechart = sismic_io.import_from_yaml(text)
        root = statechart.state_for(statechart.root)
        self.name: str = statechart.name
        self.initial: str = root.initial
        self.states = frozenset(statechart.children_for(statechart.root))
        self.final = frozenset(
            name
            for name in self.states
            if isinstance(statechart.state_for(name), sismic_model.FinalState)
        )
        self._targets = {
            (transition.source, transition.event): transition.target
            for transition in statechart.transitions
        }

    def step(self, state: str, event: str) -> str:
        """Return the next state; raise UnexpectedEvent if there is none."""
        target = self._targets.get((state, event))
        if target is None:
            raise UnexpectedEvent(
                f"chart {self.name}: no transition for event {event!r} "
                f"in state {state!r}"
            )
        return target

    def allows(self, state: str, event: str) -> bool:
        """Tell whether the state has a transition for the event."""
        return (state, event) in self._targets

    def edges(self) -> list[tuple[str, str, str]]:
        """Return (state, event, target) for every transition, sorted."""
        return sorted((s, e, t) for (s, e), t in self._targets.items())


@functools.cache
def load(name: str) -> Chart:
    """Read the chart ``<name>.yaml`` of this package."""
    folder = resources.files("knapweedwharf.charts")
    return Chart(folder.joinpath(f"{name}.yaml").read_text("utf-8"))
