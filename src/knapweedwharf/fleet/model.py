"""Data types of the fleet: process settings, desired state, executors, store.

Times are in seconds unless a field says otherwise, memory is in MiB.
"""

from __future__ import annotations

from collections import abc
import dataclasses

from knapweedwharf.core import amount
from knapweedwharf.fleet import capacity as capacity_module

READY = "ready"
DRAINING = "draining"

DONE = "done"
FAILED = "failed"
STOPPED = "stopped"
LAPSED = "lapsed"
BROKEN = "broken"
ALONE = "alone"
REFUSED = "refused"
"""The executor rejected the start; nothing ran."""

NO_TICKET = "ticket"
"""Reason of a refused start: its ticket is missing or has expired."""

NOT_OF_WAVE = "wave"
NO_MACHINE = "bad"
"""Reasons for which maintenance is refused for good."""


@dataclasses.dataclass(frozen=True)
class TimeLimits:
    """Time limits that the platform sets for this deployment.

    :ivar max_lease_s: longest lease an executor grants to its runs.
    :ivar stop_timeout_s: longest time an executor takes for a stop.
    :ivar revocation_s: longest time that a removed key may still work.
    :ivar grace_period_s: time between SIGTERM and SIGKILL.
    :ivar owner_lease_s: longest time without an owner after one is lost.
    :ivar status_retention_s: how long an ended job stays readable.
    :ivar cancel_s: longest time for which a cancelled job is started.
    :ivar reclaim_timeout_s: longest time until guaranteed work starts.
    :ivar evacuation_s: longest time for which work is started in a data
        centre that is to be evacuated; 0 if the platform sets no limit.
    :ivar maintenance_s: how long a machine is down for maintenance.
    :ivar migration_s: how long a machine is down for a move.
    """

    max_lease_s: float = 6.0
    stop_timeout_s: float = 0.9
    revocation_s: float = 5.0
    grace_period_s: float = 6.0
    owner_lease_s: float = 3.0
    status_retention_s: float = 120.0
    cancel_s: float = 3.0
    reclaim_timeout_s: float = 3.4
    maintenance_s: float = 2.0
    migration_s: float = 1.5
    evacuation_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class ProcessConfig:
    """Where a process runs and the addresses that it uses.

    :ivar frontend_address: IP:port for callers.
    :ivar readiness_address: IP:port that the load balancer probes.
    :ivar store_address: IP:port of the platform's store.
    :ivar min_lease_s: shortest lease that the store grants.
    :ivar advisor_address: IP:port of the advisor, or empty.
    :ivar machines_address: IP:port of the machine service, or empty.
    :ivar learns_speeds: executors' speeds are learned from their runs.
    """

    node_id: str
    data_centre: str
    ip_address: str
    frontend_address: str
    readiness_address: str
    store_address: str
    min_lease_s: float = 1.0
    advisor_address: str = ""
    machines_address: str = ""
    learns_speeds: bool = False
    bounds: TimeLimits = TimeLimits()
    capacity: capacity_module.Capacity = capacity_module.Capacity()


@dataclasses.dataclass(frozen=True)
class Account:
    """A client account, its keys and the accelerators it may reclaim."""

    name: str
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclasses.dataclass(frozen=True)
class AdvisorTerms:
    """Answer times and ticket validity of a queue's advisor.

    :ivar decision_s: fixed time of each call.
    :ivar per_executor_s: additional time for each executor in the call.
    :ivar validity_s: how long a ticket may be used.
    """

    decision_s: float = 0.0
    per_executor_s: float = 0.0
    validity_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Approval:
    """The advisor's answer.

    :ivar tickets: by the id of each executor that may run the step.
    :ivar validity_s: how long they may be used; 0 if not stated.
    :ivar odd_rows: number of rows that could not be decoded.
    """

    tickets: dict[str, str]
    validity_s: float = 0.0
    odd_rows: int = 0


@dataclasses.dataclass(frozen=True)
class Route:
    """A queue of jobs, found by host and path prefix.

    :ivar priority: 0 is the highest and may reclaim guaranteed room.
    :ivar slowdown: multiple of its declared run time that a job may take.
    :ivar target_s: time that a job may take in addition.
    :ivar advice: terms of its advisor; None if it needs no approval.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 1
    max_attempts: int = 1
    is_public: bool = False
    slowdown: float = 0.0
    target_s: float = 0.0
    advice: AdvisorTerms | None = None


@dataclasses.dataclass(frozen=True)
class Service:
    """A pool of executors.

    :ivar enforces_capacity: executors reject what does not fit.
    :ivar is_standby: its machines are off until moved to another pool.
    """

    name: str
    enforces_capacity: bool = True
    is_standby: bool = False


@dataclasses.dataclass(frozen=True)
class DesiredSnapshot:
    """The operator's desired state.

    :ivar revision: the store's revision of its entry.
    :ivar version: the operator's version number.
    """

    revision: int
    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: dict[str, Account]
    account_by_key: dict[str, str]

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        best: Route | None = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best


@dataclasses.dataclass(frozen=True)
class Executor:
    """An executor's own entry in the store.

    :ivar incarnation_ms: Unix time of its start; a new value means that
        no earlier run is left.
    :ivar labels: its kind and its rack, in this order.
    :ivar remaining_s: while it drains, the least time until it leaves.
    :ivar machine_id: the machine that it runs on, or empty.
    :ivar cold_s: how much longer it is slow after its start, when the
        entry was written; it ticks down without being news.
    """

    executor_id: str
    address: str
    service: str
    data_centre: str
    state: str
    cores_milli: int
    memory_mib: int
    accelerators: int
    labels: tuple[str, ...] = ()
    incarnation_ms: int = 0
    remaining_s: float = 0.0
    machine_id: str = ""
    cold_s: float = dataclasses.field(default=0.0, compare=False)

    @property
    def rack(self) -> str:
        """The rack, or the executor's id if no rack is given."""
        return self.labels[1] if len(self.labels) > 1 else self.executor_id

    @property
    def capacity(self) -> amount.Amount:
        """What its runs may take together."""
        return amount.Amount(
            self.accelerators, self.cores_milli, self.memory_mib
        )

    @property
    def is_draining(self) -> bool:
        """Whether it will leave and gets no new work."""
        return self.state == DRAINING


MACHINE_UP = "up"
MACHINE_MOVING = "moving"
MACHINE_MAINTAINED = "maintained"
MACHINE_DOWN = "down"


@dataclasses.dataclass(frozen=True)
class Machine:
    """A machine; each start on it is a new executor.

    :ivar pool: the service that it belongs to now.
    :ivar labels: its kind and its rack, in this order.
    :ivar executor_id: its current executor, or empty.
    :ivar data_centre: where it is, or empty if that isn't told.
    """

    machine_id: str
    pool: str
    state: str
    cores_milli: int
    memory_mib: int
    accelerators: int
    labels: tuple[str, ...] = ()
    executor_id: str = ""
    data_centre: str = ""

    @property
    def kind(self) -> str:
        """The kind of machine; a pool holds machines of one kind."""
        return self.labels[0] if self.labels else ""


@dataclasses.dataclass(frozen=True)
class MaintenanceWave:
    """A set of machines that the operator wants maintained.

    :ivar within_s: time limit for the whole wave.
    :ivar most_at_once: how many may be down for it at the same time.
    """

    number: int
    machine_ids: tuple[str, ...]
    within_s: float
    most_at_once: int


@dataclasses.dataclass(frozen=True)
class RunStatus:
    """A run in progress on an executor.

    :ivar checkpoint: newest saved progress, or empty.
    :ivar percent: its progress; 100 for a long-running task that serves
        fully.
    :ivar load: tail latency in ms of a task that serves users; for other
        tasks the cores in use, in thousandths.
    """

    task_id: str
    run: int
    checkpoint: str
    percent: int
    load: int = 0


@dataclasses.dataclass(frozen=True)
class RunEnd:
    """A run that has ended.

    :ivar number: sequence number; starts at 1 in each incarnation.
    """

    number: int
    task_id: str
    run: int
    outcome: str
    checkpoint: str


@dataclasses.dataclass(frozen=True)
class Report:
    """An executor's answer to a renewal.

    :ivar clock_ms: its monotonic clock when it answered.
    :ivar has_all_runs: whether a run that it doesn't name is not there.
    :ivar has_all_ends: whether no further ends wait to be named.
    :ivar odd_rows: number of rows that could not be decoded.
    """

    clock_ms: int
    incarnation_ms: int
    runs: tuple[RunStatus, ...]
    ends: tuple[RunEnd, ...]
    has_all_runs: bool = True
    has_all_ends: bool = True
    odd_rows: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether a run that it doesn't name at all was lost."""
        return self.has_all_runs and self.has_all_ends


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """An order to start one run on an executor.

    :ivar not_after_ms: time on the executor's clock after which it
        rejects the order.
    """

    task_id: str
    run: int
    specification: str
    not_after_ms: int
    epoch: int
    checkpoint: str = ""
    ticket: str = ""


@dataclasses.dataclass(frozen=True)
class Item:
    """An entry of the store.

    :ivar revision: revision of its last change; 0 if it does not exist.
    """

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(frozen=True)
class Listing:
    """Entries under a prefix and the revision at which they were read.

    :ivar has_more: whether further entries follow the last one.
    """

    items: tuple[Item, ...]
    revision: int
    has_more: bool = False


@dataclasses.dataclass(frozen=True)
class Removal:
    """A key that was removed.

    :ivar revision: that of the removal; 0 if the store doesn't tell it.
    """

    key: str
    revision: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """Result of a watch.

    :ivar events: entries as they were written, and removals, in the order
        in which they were made. A key may have several.
    """

    events: tuple[Item | Removal, ...]
    revision: int

    @property
    def items(self) -> tuple[Item, ...]:
        """Entries as they were written, without the removals."""
        return tuple(e for e in self.events if isinstance(e, Item))


@dataclasses.dataclass(frozen=True)
class Write:
    """A new value of one key; removed when its lease ends, if it has one."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(frozen=True)
class Commit:
    """An atomic transaction.

    :ivar expected: required revision by key; 0 requires that the key
        does not exist.
    """

    expected: dict[str, int]
    writes: tuple[Write, ...] = ()
    removes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class StoreSchema:
    """Keys and decoders of the operator's and executors' entries.

    :ivar decode_desired: takes an entry's value and revision.
    :ivar decode_executor: takes an executor's id and its entry's value.
    :ivar wave_prefix: prefix of the operator's maintenance waves.
    :ivar decode_wave: takes an entry's value.
    :ivar wave_status: returns the (key, value) that publish a wave's
        status, from its number and whether it is complete.
    :ivar evacuation_prefix: prefix of the operator's requests to evacuate
        a data centre, whose name follows.
    :ivar decode_evacuation: takes a request's value.

    The decoders raise ``ValueError`` on a malformed entry.
    """

    config_key: str
    operator_prefix: str
    executor_prefix: str
    decode_desired: abc.Callable[[bytes, int], DesiredSnapshot]
    decode_executor: abc.Callable[[str, bytes], Executor]
    wave_prefix: str
    decode_wave: abc.Callable[[bytes], MaintenanceWave]
    wave_status: abc.Callable[[int, bool], tuple[str, bytes]]
    evacuation_prefix: str
    decode_evacuation: abc.Callable[[bytes], None]


@dataclasses.dataclass(frozen=True)
class Mismatch:
    """A transaction whose condition did not hold; nothing was written.

    :ivar current: current entries of the expected keys.
    """

    current: dict[str, Item]
