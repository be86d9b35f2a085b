"""Time until accepted configuration is in force; cost of a start."""

from __future__ import annotations

import asyncio
import pathlib
import threading
import time

import bench
from knapweedwharf.configuration import audit
from knapweedwharf.configuration import compaction
from knapweedwharf.configuration import feed as feed_module
from knapweedwharf.configuration import publish
from standins import fleet as fleet_module
from testing.adapters import memory_store

TARGET_S = 3.0
BURST = 50
STEADY = 10
STEADY_PAUSE_S = 0.5
STARTS = (100, 1_000, 2_000)
_FOLDER = pathlib.Path("examples/escaleras/folder")
_DATA_CENTRES = ["antigua", "chimal", "quetzal"]
_POLL_S = 0.02


class _Observer(threading.Thread):
    """Notes when every node had each revision."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._token = fleet.operator_token()
        self.everywhere_at_s: dict[int, float] = {}
        self.stopped = threading.Event()

    def run(self) -> None:
        """Poll until stopped."""
        last = 0
        while not self.stopped.is_set():
            lowest = min(self._revision(node) for node in self._fleet.nodes)
            now_s = time.monotonic()
            for number in range(last + 1, lowest + 1):
                self.everywhere_at_s[number] = now_s
            last = max(last, lowest)
            self.stopped.wait(_POLL_S)

    def _revision(self, node: fleet_module.NodeProcess) -> int:
        answer = self._fleet.call(node, "GET", "/v1/status", token=self._token)
        return answer.json()["revision"] if answer.status == 200 else 0


def _apply(fleet: fleet_module.Fleet, node, base: int) -> None:
    text = f"[service.bench]\ntimeout_s = {base + 1}\n"
    document = {"base_revision": base, "changed": {"90-b.toml": text}}
    answer = fleet.call(
        node,
        "POST",
        "/v1/config",
        token=fleet.operator_token(),
        document=document,
    )
    assert answer.status == 200, answer.body


def _spread_s(fleet: fleet_module.Fleet, count: int, pause_s: float) -> float:
    """Return the longest time from sending a change to in force."""
    observer = _Observer(fleet)
    base = fleet.call(
        fleet.nodes[0], "GET", "/v1/status", token=fleet.operator_token()
    ).json()["revision"]
    observer.start()
    sent_at_s = {}
    for number in range(base, base + count):
        sent_at_s[number + 1] = time.monotonic()
        _apply(fleet, fleet.nodes[0], number)
        time.sleep(pause_s)
    fleet_module.until(
        lambda: base + count in observer.everywhere_at_s, what="all in force"
    )
    observer.stopped.set()
    observer.join()
    return max(
        observer.everywhere_at_s[number] - at_s
        for number, at_s in sent_at_s.items()
    )


@bench.BENCHES.register("configuration-in-force")
def in_force() -> list[bench.Figure]:
    """Measure nine entry VMs in three data centres."""
    with fleet_module.Fleet(
        folder=_FOLDER,
        data_centres=_DATA_CENTRES,
        nodes_per_data_centre=3,
        node_options={"heartbeat-interval-s": "2"},
    ) as fleet:
        fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
        burst_s = _spread_s(fleet, BURST, 0.0)
        steady_s = _spread_s(fleet, STEADY, STEADY_PAUSE_S)
    return [
        _seconds(f"in force everywhere, burst of {BURST}, longest", burst_s),
        _seconds("in force everywhere, steady, longest", steady_s),
    ]


def _seconds(name: str, value_s: float) -> bench.Figure:
    return bench.Figure(
        name, value_s, "s", f"at most {TARGET_S:.0f}", value_s <= TARGET_S
    )


@bench.BENCHES.register("configuration-start")
def start() -> list[bench.Figure]:
    """Count what a node's start reads after so many revisions."""
    return asyncio.run(_starts())


async def _starts() -> list[bench.Figure]:
    store = memory_store.MemoryStore()
    feed = feed_module.Feed(store=store)
    publisher = publish.Publisher(store=store, feed=feed)
    compaction.TRIM_PACE_S = 0.0
    figures = []
    for number in range(1, max(STARTS) + 1):
        text = f"[service.s]\ntimeout_s = {number}\n"
        change = publish.Change(
            number - 1, {"1.toml": text}, "operator", "bench of the log"
        )
        (await publisher.publish(change)).unwrap()
        await publisher.settled()
        if number in STARTS:
            figures.extend(await _start_after(store, number))
    pages = [
        entry.value
        for key, entry in store.entries.items()
        if key.startswith(audit.ARCHIVE_PREFIX)
    ]
    share = sum(map(len, pages)) / (len(pages) * audit.PAGE_REVISIONS)
    figures.append(bench.Figure("archive, each revision", share, "bytes"))
    calls = len(store.calls) / max(STARTS)
    figures.append(bench.Figure("calls, each revision", calls, "calls"))
    return figures


async def _start_after(
    store: memory_store.MemoryStore, number: int
) -> list[bench.Figure]:
    calls_before = len(store.calls)
    sizes_before = len(store.sizes_bytes)
    await feed_module.Feed(store=store).catch_up()
    calls = len(store.calls) - calls_before
    size_bytes = sum(store.sizes_bytes[sizes_before:])
    del store.calls[calls_before:]
    held = len(store.entries)
    return [
        bench.Figure(f"start after {number}, calls", calls, "calls"),
        bench.Figure(f"start after {number}, read", size_bytes, "bytes"),
        bench.Figure(f"keys in the store after {number}", held, "keys"),
    ]
