"""Limits on clients, from what the VM's process may use."""

from __future__ import annotations

from knapweedwharf.fleet import capacity as capacity_module
from knapweedwharf.web import limits

MAX_BODY_BYTES = 262_144
"""The platform operator's usual limit for a request body."""

MAX_HEADER_BYTES = 20_480
"""The operator's usual limit of 16 KB, and 4 KB for the request line."""

HEADER_TIMEOUT_S = 15.0
BODY_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 60.0
"""Four or more times the operator's usual limits, or the longest wait of a
caller."""

OWN_MEMORY_BYTES = 64e6
OWN_MEMORY_SHARE = 0.4
"""Memory of a process without clients, the larger of the two; an owner of
few executors uses 56 MB, one of the largest pools 30% of its VM's."""

CONNECTION_BYTES = 65_536
"""Headers and unread bytes of a connection, its share of bodies and its
objects."""

CONNECTIONS_MEMORY_SHARE = 0.5
BODIES_MEMORY_SHARE = 0.25
"""Shares of the memory beyond the process's own; the rest is for what a
request needs while it is decoded and served."""

FILE_DESCRIPTORS = 200
"""Descriptors that the platform reserves for files."""

SOCKETS_SHARE = 0.25
"""The others are for the store, the probes and the executors; an owner may
have several connections to each."""

MIN_CONNECTIONS = 16
MIN_BUFFERED_BYTES = 4 * MAX_BODY_BYTES
"""Enough to serve single requests on a VM that is too small."""

MAX_PROBES = 16
"""The balancer and an operator's programs use one or two connections."""


def callers(capacity: capacity_module.Capacity) -> limits.Limits:
    """Return the limits of the server for callers."""
    memory_bytes = _free_memory_bytes(capacity) * CONNECTIONS_MEMORY_SHARE
    sockets = (capacity.file_descriptors - FILE_DESCRIPTORS) * SOCKETS_SHARE
    most = min(memory_bytes / CONNECTION_BYTES, sockets)
    return limits.Limits(
        max_connections=max(MIN_CONNECTIONS, int(most)),
        max_header_bytes=MAX_HEADER_BYTES,
        header_timeout_s=HEADER_TIMEOUT_S,
        body_timeout_s=BODY_TIMEOUT_S,
        idle_timeout_s=IDLE_TIMEOUT_S,
    )


def max_buffered_bytes(capacity: capacity_module.Capacity) -> int:
    """Return the bytes that all bodies together may hold."""
    most = _free_memory_bytes(capacity) * BODIES_MEMORY_SHARE
    return max(MIN_BUFFERED_BYTES, int(most))


def _free_memory_bytes(capacity: capacity_module.Capacity) -> float:
    own_bytes = max(OWN_MEMORY_BYTES, capacity.memory_bytes * OWN_MEMORY_SHARE)
    return capacity.memory_bytes - own_bytes


PROBES = limits.Limits(
    max_connections=MAX_PROBES,
    max_header_bytes=MAX_HEADER_BYTES,
    max_body_bytes=0,
    header_timeout_s=HEADER_TIMEOUT_S,
    idle_timeout_s=IDLE_TIMEOUT_S,
)
"""Limits of the servers for readiness and metrics."""
