"""The operators' folder: merge order, field sources and typed errors."""

from __future__ import annotations

import pytest

from knapweedwharf.configuration import folder

DATA_CENTRE = '[data_centre.a]\nregion = "r"\n'


def _fault(files: folder.Files):
    return folder.load(files, revision=1).failure()[0]


def test_later_file_overrides_field_by_field() -> None:
    files = {
        "10-a.toml": '[service.s]\nurgency = "urgent"\ntimeout_s = 3\n',
        "20-b.toml": "[service.s]\ntimeout_s = 9\n",
    }
    service = folder.load(files, revision=1).unwrap().services["s"]
    assert (service.urgency, service.timeout_s) == ("urgent", 9)


def test_source_of_each_field_is_known() -> None:
    files = {
        "10-a.toml": "[service.s]\ntimeout_s = 3\n",
        "20-b.toml": "[service.s]\nidempotent = false\n",
    }
    sources = folder.merge(files).unwrap().sources
    assert sources[("service", "s", "timeout_s")] == "10-a.toml"
    assert sources[("service", "s", "idempotent")] == "20-b.toml"


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("[service.s]\nurgncy = 1\n", "service.s.urgncy"),
        ('[service.s]\ntimeout_s = "3 s"\n', "service.s.timeout_s"),
        ("[service.s]\ntimeout_s = -1\n", "service.s.timeout_s"),
        ("[service.s]\n[service.s]\n", "syntax"),
        ("[servce.s]\n", "servce"),
        ("service = 3\n", "service"),
        ("[service.'Big Name']\n", "service.Big Name"),
        ("[rack.r]\ndata_centre = 'a'\n", "rack.r.workers"),
        ("x" * 70_000, "size"),
    ],
)
def test_wrong_text_names_file_and_field(text: str, field: str) -> None:
    fault = _fault({"10-x.toml": text})
    assert (fault.source, fault.field) == ("10-x.toml", field)
    assert fault.remedy


def test_unknown_account_of_a_guarantee_is_refused() -> None:
    text = (
        '[guarantee.g]\naccount = "nobody"\ndata_centre = "a"\n'
        'accelerators = 1\nwithin = "rack"\n'
    )
    fault = _fault({"1.toml": DATA_CENTRE, "2.toml": text})
    assert fault.field == "guarantee.g.account"
    assert "nobody" in str(fault)


def test_changed_guarantee_is_checked_against_the_hardware() -> None:
    rack = (
        "[rack.r]\ndata_centre = 'a'\nworkers = 1\n"
        "accelerators_per_worker = 4\ncores_per_worker = 8\n"
        "memory_mib_per_worker = 8192\n"
    )
    account = f'[account.x]\ntoken_sha256 = "{"0" * 64}"\n'
    text = (
        '[guarantee.g]\naccount = "x"\ndata_centre = "a"\n'
        'accelerators = {}\nwithin = "worker"\n'
    )
    files = {
        "1.toml": DATA_CENTRE,
        "2.toml": rack,
        "3.toml": account,
        "4.toml": text.format(4),
    }
    before = folder.load(files, revision=1).unwrap()
    files["4.toml"] = text.format(8)
    refused = folder.load(files, revision=2, before=before)
    assert refused.failure()[0].field == "guarantee.g.accelerators"
    files["4.toml"] = text.format(4)
    files["2.toml"] = rack.replace("= 4", "= 2")
    refused = folder.load(files, revision=2, before=before)
    assert refused.failure()[0].field == "guarantee.g.accelerators"
