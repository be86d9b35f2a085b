"""Generated pages are current; links and named tests exist."""

from __future__ import annotations

import dataclasses
import pathlib
import re

from knapweedwharf import settings as settings_module
from tools import reference
from tools import setting_descriptions

ROOT = pathlib.Path(__file__).parent.parent.parent
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
NODE_ID = re.compile(r"testing/[\w/]+\.py")


def test_pages_are_made_from_the_code() -> None:
    assert reference.main(["--check"]) == 0


def test_every_setting_has_a_meaning() -> None:
    fields = dataclasses.fields(settings_module.Settings)
    assert {field.name for field in fields} == set(
        setting_descriptions.DESCRIPTIONS
    )


def test_links_lead_to_files() -> None:
    missing = [
        f"{page.relative_to(ROOT)}: {target}"
        for page in PAGES
        for target in LINK.findall(page.read_text("utf-8"))
        if not (page.parent / target).exists()
    ]
    assert missing == []


def test_named_tests_exist() -> None:
    missing = [
        f"{page.relative_to(ROOT)}: {name}"
        for page in PAGES
        for name in NODE_ID.findall(page.read_text("utf-8"))
        if not (ROOT / name).exists()
    ]
    assert missing == []
