"""Dependencies of the components that send orders for machines."""

from __future__ import annotations

import dataclasses

from knapweedwharf.core import event
from knapweedwharf.fleet import clients as clients_module
from knapweedwharf.fleet import desired as desired_module
from knapweedwharf.fleet import election as election_module
from knapweedwharf.fleet import model
from knapweedwharf.fleet import registry as registry_module
from knapweedwharf.fleet import scheduling_state as scheduling_state_module
from knapweedwharf import metrics


@dataclasses.dataclass(frozen=True)
class MachineOrderContext:
    """Dependencies shared by machine maintenance and pool scaling.

    :ivar first_order_s: time on the elapsed clock before which no order
        is sent, so that orders of two successive owners don't interleave.
    :ivar tell: passes an event to a service's engine.
    """

    bounds: model.TimeLimits
    clients: clients_module.PlatformClients
    desired: desired_module.DesiredState
    registry: registry_module.Registry
    scheduling_state: scheduling_state_module.SchedulingState
    election: election_module.Election
    ownership: election_module.Ownership
    sender: metrics.Metrics
    first_order_s: float
    tell: event.EventSink
