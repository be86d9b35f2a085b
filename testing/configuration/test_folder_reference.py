"""The reference page lists every table and field of the folder."""

from __future__ import annotations

import pathlib

import pytest

from knapweedwharf.configuration import schema

PAGE = pathlib.Path("docs/reference/folder.md")


@pytest.mark.parametrize("kind", schema.TABLES.names())
def test_every_field_stands_in_the_reference(kind: str) -> None:
    sections = PAGE.read_text("utf-8").split("\n## `[")
    section = next(text for text in sections if text.startswith(kind + "."))
    named = {
        line.split("`")[1]
        for line in section.splitlines()
        if line.startswith("| `")
    }
    fields = set(schema.TABLES.get(kind)().fields) - {"name"}
    assert named == fields
