"""``serve`` refuses invalid flags and environment variables."""

from __future__ import annotations

from click import testing

from knapweedwharf.cli import main
from knapweedwharf import settings as settings_module

FLAGS = [
    "--node-id=a-1",
    "--data-centre=a",
    "--http-address=127.0.0.1:1",
    "--peer-address=127.0.0.1:2",
    "--platform-url=http://127.0.0.1:3",
    "--peer-key=a-key-of-sixteen-or-more",
]


def _serve(*flags: str, **environment: str) -> testing.Result:
    runner = testing.CliRunner()
    return runner.invoke(main.cli, ["serve", *flags], env=environment)


def test_wrong_flag_value_is_named() -> None:
    outcome = _serve(*FLAGS, "--owner-lease-s=soon")
    assert outcome.exit_code == 2
    assert "flag --owner-lease-s: owner_lease_s = 'soon'" in outcome.stderr


def test_wrong_environment_value_is_named() -> None:
    variable = settings_module.environment_name("owner_lease_s")
    outcome = _serve(*FLAGS, **{variable: "soon"})
    assert outcome.exit_code == 2
    assert f"environment {variable}: owner_lease_s" in outcome.stderr


def test_unknown_adapter_names_those_that_exist() -> None:
    outcome = _serve(*FLAGS, "--store-kind=paper")
    assert outcome.exit_code == 2
    assert "store_kind = 'paper'" in outcome.stderr
    assert "etcd-json" in outcome.stderr


def test_unknown_flag_is_wrong_usage() -> None:
    outcome = _serve(*FLAGS, "--ower-lease-s=3")
    assert outcome.exit_code == 2
    assert "--ower-lease-s" in outcome.stderr


def test_help_names_flag_and_variable_of_every_setting() -> None:
    text = " ".join(_serve("--help").stdout.split())
    for field in settings_module.Settings.__dataclass_fields__:
        assert settings_module.flag_name(field) in text
        assert settings_module.environment_name(field) in text
