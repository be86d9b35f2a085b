"""State that the steps of a scenario share."""

from __future__ import annotations

import dataclasses
import itertools
import pathlib
import threading
import typing

from standins import caller
from standins import fleet as fleet_module
from standins import loopback
from standins import oracle

FOLDER = pathlib.Path("examples/escaleras/folder")
ONCE_SERVICE = "booking"
GANG = {"tasks": 6, "accelerators_per_task": 8, "within": "rack"}
CHANGED_FILE = "60-rule-scheduling.toml"


@dataclasses.dataclass
class Context:
    """A running fleet, its callers and the state of a scenario.

    :ivar frozen: the VM that is suspended, if any.
    :ivar remembered_ids: ids of jobs that later steps check.
    :ivar answer: the last answer that a later step checks.
    """

    fleet: fleet_module.Fleet
    callers: caller.Callers
    frozen: fleet_module.NodeProcess | None = None
    remembered_ids: list[str] = dataclasses.field(default_factory=list)
    answer: loopback.Answer | None = None
    _ageings_s: typing.Iterator[int] = dataclasses.field(
        default_factory=lambda: itertools.count(601)
    )

    def status(self, node: fleet_module.NodeProcess) -> dict:
        """Return a VM's status, or an empty dict."""
        token = self.fleet.operator_token()
        answer = self.fleet.call(node, "GET", "/v1/status", token=token)
        return answer.json() if answer.status == 200 else {}

    def owner(self) -> fleet_module.NodeProcess:
        """Wait for an active owner of the first data centre."""
        place = self.fleet.data_centres[0]
        nodes = [n for n in self.fleet.nodes if n.data_centre == place]
        return loopback.until(
            lambda: next(
                (
                    node
                    for node in nodes
                    if node.running
                    and node is not self.frozen
                    and self.status(node).get("owner_state") == "active"
                ),
                None,
            ),
            what="an active owner",
        )

    def revision(self) -> int:
        """Return the highest revision in force on any VM."""
        running = [n for n in self.fleet.nodes if n.running]
        return max(self.status(n).get("revision", 0) for n in running)

    def change(self, message: str, *, base_revision: int, **options) -> None:
        """Change the ageing time of the scheduling rule."""
        text = f"[rule.scheduling]\nageing_s = {next(self._ageings_s)}.0\n"
        self.callers.change(
            message,
            files={CHANGED_FILE: text},
            base_revision=base_revision,
            **options,
        )

    def history(
        self, node: fleet_module.NodeProcess | None = None
    ) -> list[dict]:
        """Return the audit trail as read from one VM."""
        answer = self.fleet.call(
            node or self.callers.next_node(),
            "GET",
            "/v1/config/history",
            token=self.fleet.operator_token(),
        )
        return answer.json()["revisions"]

    def answer_violations(self) -> list[str]:
        """Return the violations in the answers to callers."""
        return oracle.check_requests(
            self.callers.responses, self.fleet.executions(), once=ONCE_SERVICE
        )


def run_concurrently(*actions: typing.Callable[[], typing.Any]) -> None:
    """Run actions concurrently in threads and wait for all."""
    threads = [threading.Thread(target=action) for action in actions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
