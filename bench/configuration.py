"""Propagation time of configuration changes; cost of a node's start."""

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
BURST_CHANGES = 50
STEADY_CHANGES = 10
PLAN_RACKS = 68
PLAN_ACCOUNTS = 74
STEADY_PAUSE_S = 0.5
REVISION_COUNTS = (100, 1_000, 2_000)
_FOLDER = pathlib.Path("examples/escaleras/folder")
_DATA_CENTRES = ["antigua", "chimal", "quetzal"]
_POLL_INTERVAL_S = 0.02


class _RevisionObserver(threading.Thread):
    """Records when each revision was in force on all nodes."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        super().__init__(daemon=True)
        self._fleet = fleet
        self._token = fleet.operator_token()
        self.in_force_at_s: dict[int, float] = {}
        self.stopped = threading.Event()

    def run(self) -> None:
        """Poll the nodes until stopped."""
        last = 0
        while not self.stopped.is_set():
            lowest = min(self._revision(node) for node in self._fleet.nodes)
            now_s = time.monotonic()
            for number in range(last + 1, lowest + 1):
                self.in_force_at_s[number] = now_s
            last = max(last, lowest)
            self.stopped.wait(_POLL_INTERVAL_S)

    def _revision(self, node: fleet_module.NodeProcess) -> int:
        answer = self._fleet.call(node, "GET", "/v1/status", token=self._token)
        return answer.json()["revision"] if answer.status == 200 else 0


def _apply_change(
    fleet: fleet_module.Fleet,
    node: fleet_module.NodeProcess,
    base_revision: int,
    files: dict[str, str] | None = None,
) -> None:
    text = f"[service.bench]\ntimeout_s = {base_revision + 1}\n"
    changed = files or {"90-b.toml": text}
    document = {"base_revision": base_revision, "changed": changed}
    answer = fleet.call(
        node,
        "POST",
        "/v1/config",
        token=fleet.operator_token(),
        document=document,
    )
    assert answer.status == 200, answer.body


def _longest_propagation_s(
    fleet: fleet_module.Fleet, count: int, pause_s: float
) -> float:
    """Return the longest time from sending a change until all nodes
    have it in force.
    """
    observer = _RevisionObserver(fleet)
    base_revision = fleet.call(
        fleet.nodes[0], "GET", "/v1/status", token=fleet.operator_token()
    ).json()["revision"]
    observer.start()
    sent_at_s = {}
    for number in range(base_revision, base_revision + count):
        sent_at_s[number + 1] = time.monotonic()
        _apply_change(fleet, fleet.nodes[0], number)
        time.sleep(pause_s)
    fleet_module.until(
        lambda: base_revision + count in observer.in_force_at_s,
        what="all in force",
    )
    observer.stopped.set()
    observer.join()
    return max(
        observer.in_force_at_s[number] - at_s
        for number, at_s in sent_at_s.items()
    )


def _plan_files() -> dict[str, str]:
    """Return files with the planned deployment's number of racks and
    accounts, in a data centre without VMs.
    """
    files = {}
    for number in range(PLAN_RACKS):
        files[f"91-rack-{number:03d}.toml"] = (
            f"[rack.plan-{number}]\n"
            'data_centre = "solola"\nworkers = 10\n'
            "accelerators_per_worker = 1\ncores_per_worker = 64\n"
            "memory_mib_per_worker = 262144\n"
        )
    for number in range(PLAN_ACCOUNTS):
        files[f"92-account-{number:03d}.toml"] = (
            f'[account.plan-{number}]\ntoken_sha256 = "{number:064x}"\n'
        )
        files[f"93-guarantee-{number:03d}.toml"] = (
            f'[guarantee.plan-{number}]\naccount = "plan-{number}"\n'
            'data_centre = "solola"\naccelerators = 4\nwithin = "rack"\n'
        )
    return files


@bench.BENCHMARKS.register("configuration-in-force")
def in_force() -> list[bench.Figure]:
    """Measure propagation to nine entry VMs in three data centres."""
    with fleet_module.Fleet(
        folder=_FOLDER,
        data_centres=_DATA_CENTRES,
        nodes_per_data_centre=3,
        node_options={"heartbeat-interval-s": "2"},
    ) as fleet:
        fleet.wait_revision(fleet.apply_folder(fleet.nodes[0]))
        burst_s = _longest_propagation_s(fleet, BURST_CHANGES, 0.0)
        steady_s = _longest_propagation_s(
            fleet, STEADY_CHANGES, STEADY_PAUSE_S
        )
        _apply_change(
            fleet,
            fleet.nodes[0],
            1 + BURST_CHANGES + STEADY_CHANGES,
            _plan_files(),
        )
        plan_s = _longest_propagation_s(fleet, BURST_CHANGES, 0.0)
    return [
        _propagation_figure(
            f"in force everywhere, burst of {BURST_CHANGES}, longest", burst_s
        ),
        _propagation_figure("in force everywhere, steady, longest", steady_s),
        _propagation_figure(
            "the same burst, folder of the plan's size", plan_s
        ),
    ]


def _propagation_figure(name: str, value_s: float) -> bench.Figure:
    return bench.Figure(
        name, value_s, "s", f"at most {TARGET_S:.0f}", value_s <= TARGET_S
    )


@bench.BENCHMARKS.register("configuration-start")
def node_start() -> list[bench.Figure]:
    """Count what a node reads at its start, by number of revisions."""
    return asyncio.run(_measure_starts())


async def _measure_starts() -> list[bench.Figure]:
    store = memory_store.MemoryStore()
    feed = feed_module.Feed(store=store)
    publisher = publish.Publisher(store=store, feed=feed)
    compaction.TRIM_DELAY_S = 0.0
    figures = []
    for number in range(1, max(REVISION_COUNTS) + 1):
        text = f"[service.s]\ntimeout_s = {number}\n"
        change = publish.Change(
            number - 1, {"1.toml": text}, "operator", "bench of the log"
        )
        (await publisher.publish(change)).unwrap()
        await publisher.wait_compacted()
        if number in REVISION_COUNTS:
            figures.extend(await _measure_start(store, number))
    pages = [
        entry.value
        for key, entry in store.entries.items()
        if key.startswith(audit.ARCHIVE_PREFIX)
    ]
    page_bytes = sum(map(len, pages)) / (len(pages) * audit.PAGE_REVISIONS)
    figures.append(bench.Figure("archive, each revision", page_bytes, "bytes"))
    calls = len(store.calls) / max(REVISION_COUNTS)
    figures.append(bench.Figure("calls, each revision", calls, "calls"))
    return figures


async def _measure_start(
    store: memory_store.MemoryStore, number: int
) -> list[bench.Figure]:
    calls_before = len(store.calls)
    sizes_before = len(store.sizes_bytes)
    await feed_module.Feed(store=store).catch_up()
    calls = len(store.calls) - calls_before
    size_bytes = sum(store.sizes_bytes[sizes_before:])
    del store.calls[calls_before:]
    key_count = len(store.entries)
    return [
        bench.Figure(f"start after {number}, calls", calls, "calls"),
        bench.Figure(f"start after {number}, read", size_bytes, "bytes"),
        bench.Figure(f"keys in the store after {number}", key_count, "keys"),
    ]
