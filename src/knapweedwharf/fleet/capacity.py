"""Capacity of a VM, as its platform states it, and what an owner needs."""

from __future__ import annotations

import dataclasses

NEEDED_CORES = 2.0
"""Processor of an owner: keeps up with the reports of all executors while
it also takes over."""

NEEDED_LINK_BPS = 100e6
"""Link of an owner: reads ten pages of records, 1 MB each, in a second."""


@dataclasses.dataclass(frozen=True)
class Capacity:
    """What one VM can do; the defaults apply where nothing is stated.

    :ivar cores: processor capacity, in cores of normal speed.
    :ivar link_bps: bandwidth of its network link, in bits per second.
    :ivar memory_bytes: memory above which the process is killed.
    :ivar file_descriptors: most open descriptors of the process.
    """

    cores: float = 1.0
    link_bps: float = 1e9
    memory_bytes: float = 512e6
    file_descriptors: float = 1024

    @property
    def shortfall(self) -> float:
        """Share of an owner's needs that is missing most; 0 if none is."""
        return max(
            0.0,
            1.0 - self.cores / NEEDED_CORES,
            1.0 - self.link_bps / NEEDED_LINK_BPS,
        )
