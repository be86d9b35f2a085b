"""Each fault in a folder yields a typed error that names its place."""

from __future__ import annotations

import pathlib

import hypothesis
from hypothesis import strategies
import pytest
from returns import result

from knapweedwharf.configuration import folder
from knapweedwharf.configuration import schema

SERVICE = "[service.s]\ntimeout_s = 3\n"
KINDS = sorted(schema.TABLES.names())


@pytest.mark.parametrize(
    ("files", "field"),
    [
        ({"A.toml": SERVICE}, "file name"),
        ({"a.toml\n": SERVICE}, "file name"),
        ({"../a.toml": SERVICE}, "file name"),
        ({"a.toml": SERVICE, "b.toml": SERVICE}, "file"),
        ({"a.toml": "\ufeff" + SERVICE}, "syntax"),
        ({"a.toml": SERVICE + "# \0"}, "syntax"),
        ({"a.toml": '[service.s]\nurgency = "\ud800"'}, "syntax"),
        ({"a.toml": "x = " + "[" * 20_000}, "syntax"),
        ({"a.toml": "[service.s]\ntimeout_s = " + "9" * 9_000}, "syntax"),
        (
            {"a.toml": "[service.s]\ntimeout_s = 0x" + "f" * 9_000},
            "service.s.timeout_s",
        ),
        ({"a.toml": "[service.s]\ntimeout_s = inf"}, "service.s.timeout_s"),
        ({"a.toml": "[service.s]\ntimeout_s = nan"}, "service.s.timeout_s"),
        ({"a.toml": "[service.s]\ntimeout_s = 1e999"}, "service.s.timeout_s"),
        ({"a.toml": "[service.s]\nidempotent = 1"}, "service.s.idempotent"),
        ({"a.toml": "[service.S]\ntimeout_s = 1"}, "service.S"),
        ({"a.toml": "service.s." + "a." * 900 + "b = 1"}, "service.s.a"),
        ({"a.toml": "#" * 70_000}, "size"),
        ({f"{n}.toml": f"# {n}" for n in range(2_001)}, "files"),
        ({f"{n}.toml": f"# {n}" + "x" * 60_000 for n in range(9)}, "size"),
    ],
)
def test_fault_names_its_place(files: folder.Files, field: str) -> None:
    fault = folder.load(files, revision=1).failure()[0]
    assert fault.field == field
    assert fault.remedy and len(str(fault)) < 1_000


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    kind=strategies.sampled_from(KINDS),
    text=strategies.one_of(
        strategies.text(max_size=60),
        strategies.dictionaries(
            strategies.text("abcdef_sx-", min_size=1, max_size=8),
            strategies.sampled_from(
                ["1", "-1", '"x"', "[]", "{}", "1979-05-27", "true", "0.5"]
            ),
            max_size=4,
        ).map(lambda d: "\n".join(f"{k} = {v}" for k, v in d.items())),
    ),
)
def test_any_text_is_read_or_refused(kind: str, text: str) -> None:
    loaded = folder.load({"a.toml": f"[{kind}.x]\n{text}"}, revision=1)
    if isinstance(loaded, result.Failure):
        for fault in loaded.failure():
            assert fault.source and fault.field and fault.remedy


def test_files_that_cannot_be_used_are_named(tmp_path: pathlib.Path) -> None:
    (tmp_path / "10-a.toml").write_text(SERVICE)
    (tmp_path / "20-b.toml").symlink_to(tmp_path / "10-a.toml")
    (tmp_path / "30-c.tml").write_text(SERVICE)
    (tmp_path / "40-d.toml").mkdir()
    (tmp_path / "50-e.toml").symlink_to(tmp_path / "nowhere")
    (tmp_path / "60-f.toml").write_bytes(b"# \xff\n")
    (tmp_path / "70-g.toml").write_bytes(b"#" * 200_000)
    (tmp_path / "README.md").write_text("left out")
    (tmp_path / ".hidden").write_text("left out")
    faults = folder.read(tmp_path).failure()
    assert [fault.source for fault in faults] == [
        "20-b.toml",
        "30-c.tml",
        "40-d.toml",
        "50-e.toml",
        "60-f.toml",
    ]


def test_earlier_files_of_a_setting_are_known() -> None:
    files = {f"{n}.toml": f"[service.s]\ntimeout_s = {n}\n" for n in (1, 2, 3)}
    merged = folder.merge(files).unwrap()
    place = ("service", "s", "timeout_s")
    assert merged.sources[place] == "3.toml"
    assert merged.overridden[place] == ["1.toml", "2.toml"]
