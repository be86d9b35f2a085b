"""What an owner needs to give orders for machines."""

from __future__ import annotations

import dataclasses

from knapweedwharf.core import event
from knapweedwharf.fleet import board as board_module
from knapweedwharf.fleet import desired as desired_module
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import model
from knapweedwharf.fleet import outside as outside_module
from knapweedwharf.fleet import registry as registry_module
from knapweedwharf import metrics


@dataclasses.dataclass(frozen=True)
class Duty:
    """The parts of an ownership that orders for machines touch.

    :ivar first_order_s: on the elapsed clock; orders of two holders must
        not alternate, so none is given before.
    :ivar tell: tells a service's engine.
    """

    bounds: model.Bounds
    outside: outside_module.Outside
    desired: desired_module.DesiredState
    registry: registry_module.Registry
    board: board_module.Board
    election: election_module.Election
    ownership: election_module.Ownership
    sender: metrics.Metrics
    first_order_s: float
    tell: event.Tell
