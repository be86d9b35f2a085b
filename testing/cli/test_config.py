"""The configuration commands against a running node."""

from __future__ import annotations

import json
import pathlib
import shutil

from click import testing

from knapweedwharf.cli import main
from standins import fleet as fleet_module

FOLDER = pathlib.Path("examples/escaleras/folder")


def _run(*arguments: str) -> testing.Result:
    return testing.CliRunner().invoke(main.cli, list(arguments))


def test_check_names_overridden_files(tmp_path: pathlib.Path) -> None:
    (tmp_path / "1.toml").write_text("[service.s]\ntimeout_s = 1\n")
    (tmp_path / "2.toml").write_text("[service.s]\ntimeout_s = 2\n")
    shown = _run("config", "check", str(tmp_path))
    assert "service.s.timeout_s = 2  (2.toml, over 1.toml)" in shown.output
    (tmp_path / "3.toml").write_text("[service.s]\ntimeout = 2\n")
    refused = _run("config", "check", str(tmp_path))
    assert refused.exit_code == 1
    assert "3.toml: service.s.timeout = 2" in refused.output


def test_apply_history_and_show(tmp_path: pathlib.Path) -> None:
    folder = tmp_path / "folder"
    shutil.copytree(FOLDER, folder)
    with fleet_module.Fleet(folder=FOLDER, data_centres=["antigua"]) as fleet:
        node = fleet.nodes[0]
        first = ("--url", node.url, "--token", fleet_module.BOOTSTRAP_TOKEN)
        dry = _run("config", "apply", str(folder), *first, "--dry-run")
        assert "may be applied on revision 0" in dry.output
        done = _run("config", "apply", str(folder), *first)
        assert "revision 1 accepted" in done.output
        common = ("--url", node.url, "--token", fleet.operator_token())
        again = _run("config", "apply", str(folder), *common)
        assert again.output == "no changes\n"
        (folder / "90-s.toml").write_text("[service.s]\ntimeout_s = 1\n")
        raced = _run("config", "apply", str(folder), *common, "--base", "0")
        assert raced.exit_code == 1
        assert "1 by bootstrap" in raced.output
        assert "--base 1" in raced.output
        for file in folder.glob("30-account-*"):
            file.unlink()
        for file in folder.glob("40-guarantee-*"):
            file.unlink()
        locked = _run("config", "apply", str(folder), *common)
        assert (locked.exit_code, "--force" in locked.output) == (1, True)
        history = _run("config", "history", *common, "--json")
        assert [
            (item["revision_before"], item["revision"], item["actor"])
            for item in json.loads(history.output)["revisions"]
        ] == [(0, 1, "bootstrap")]
        assert "token_sha256" not in history.output
        shown = _run("config", "show", *common)
        assert shown.output.startswith("# revision 1\n")
        status = _run("status", *common)
        assert "revision_confirmed: True" in status.output
