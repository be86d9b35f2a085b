"""Parse a folder of TOML files and merge it in name order.

A later file's field replaces an earlier one's. Every wrong field
yields a typed error with file, field, value and remedy.
"""

from __future__ import annotations

import dataclasses
import pathlib
import re
import tomllib
import typing

import marshmallow
from returns import result

from knapweedwharf.configuration import check
from knapweedwharf.configuration import schema
from knapweedwharf.core import model
from knapweedwharf import errors

MAX_FILE_BYTES = 65_536
MAX_FILES = 2_000
_FILE_NAME = re.compile(r"^[a-z0-9][a-z0-9._-]{0,120}\.toml$")

Files = dict[str, str]
"""File name to text."""

Faults = list[errors.InvalidField]


@dataclasses.dataclass(frozen=True)
class Merged:
    """A folder's settings and the file each one comes from.

    :ivar tables: table kind, then name, then field to value.
    :ivar sources: (kind, name, field) to file name.
    """

    tables: dict[str, dict[str, dict[str, typing.Any]]]
    sources: dict[tuple[str, str, str], str]


def read(path: pathlib.Path) -> result.Result[Files, Faults]:
    """Read the ``.toml`` files of a folder."""
    if not path.is_dir():
        return _one_fault(str(path), "folder", "", "Not a folder.", "Name one")
    files: Files = {}
    faults: Faults = []
    for file in sorted(path.glob("*.toml")):
        text = _read_file(file)
        if isinstance(text, result.Failure):
            faults.append(text.failure())
        else:
            files[file.name] = text.unwrap()
    return result.Failure(faults) if faults else result.Success(files)


def _read_file(
    file: pathlib.Path,
) -> result.Result[str, errors.InvalidField]:
    content = file.read_bytes()
    try:
        return result.Success(content.decode("utf-8"))
    except UnicodeDecodeError as error:
        return result.Failure(
            errors.InvalidField(
                message="The file is not UTF-8.",
                remedy="Save it in UTF-8.",
                source=file.name,
                field=f"byte {error.start}",
                value=repr(content[error.start : error.start + 1]),
            )
        )


def load(
    files: Files, *, revision: int
) -> result.Result[model.Configuration, Faults]:
    """Parse, merge and check files; all faults found are returned."""
    merged = merge(files)
    if isinstance(merged, result.Failure):
        return merged
    return _build(merged.unwrap(), revision=revision)


def merge(files: Files) -> result.Result[Merged, Faults]:
    """Merge files in the order of their names."""
    faults: Faults = []
    merged = Merged(tables={}, sources={})
    if len(files) > MAX_FILES:
        return _one_fault(
            "folder",
            "files",
            str(len(files)),
            f"More than {MAX_FILES} files.",
            "Join small files",
        )
    for name in sorted(files):
        faults.extend(_merge_file(merged, name, files[name]))
    return result.Failure(faults) if faults else result.Success(merged)


def _merge_file(merged: Merged, name: str, text: str) -> Faults:
    if not _FILE_NAME.match(name):
        return [
            _fault(name, "file name", name, "Not a usable name.", "Rename it")
        ]
    if len(text.encode()) > MAX_FILE_BYTES:
        return [
            _fault(
                name,
                "size",
                f"{len(text.encode())} bytes",
                f"Longer than {MAX_FILE_BYTES} bytes.",
                "Split the file",
            )
        ]
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return [_fault(name, "syntax", "", f"{error}.", "Mend the TOML")]
    faults: Faults = []
    for kind, tables in document.items():
        faults.extend(_merge_kind(merged, name, kind, tables))
    return faults


def _merge_kind(
    merged: Merged, source: str, kind: str, tables: typing.Any
) -> Faults:
    if kind not in schema.TABLES.names():
        known = ", ".join(schema.TABLES.names())
        return [
            _fault(source, kind, "", "Unknown table kind.", f"Use: {known}")
        ]
    if not isinstance(tables, dict):
        text = f"Write [{kind}.NAME] and its fields below"
        return [_fault(source, kind, repr(tables), "Not a table.", text)]
    faults: Faults = []
    for name, table in tables.items():
        place = f"{kind}.{name}"
        if not isinstance(table, dict):
            text = f"Write [{kind}.NAME] and its fields below"
            faults.append(
                _fault(source, place, repr(table), "Not a table.", text)
            )
        elif not schema.NAME_PATTERN.match(name):
            text = "Use lower-case letters, digits and hyphens"
            faults.append(
                _fault(source, place, name, "Not a usable name.", text)
            )
        else:
            _merge_table(merged, source, kind, name, table)
    return faults


def _merge_table(
    merged: Merged, source: str, kind: str, name: str, table: dict
) -> None:
    target = merged.tables.setdefault(kind, {}).setdefault(name, {})
    target.update(table)
    for field in table:
        merged.sources[(kind, name, field)] = source


def _build(
    merged: Merged, *, revision: int
) -> result.Result[model.Configuration, Faults]:
    built: dict[str, dict[str, typing.Any]] = {}
    faults: Faults = []
    for kind, tables in merged.tables.items():
        for name, table in tables.items():
            loaded = _load_table(merged, kind, name, table)
            if isinstance(loaded, result.Failure):
                faults.extend(loaded.failure())
            else:
                built.setdefault(kind, {})[name] = loaded.unwrap()
    if faults:
        return result.Failure(faults)
    configuration = model.Configuration(
        revision=revision,
        data_centres=built.get("data_centre", {}),
        racks=built.get("rack", {}),
        accounts=built.get("account", {}),
        guarantees=built.get("guarantee", {}),
        services=built.get("service", {}),
        policy=built.get("rule", {}).get("scheduling", model.PolicySpec()),
    )
    faults = check.run(configuration, source_of(merged))
    return result.Failure(faults) if faults else result.Success(configuration)


def source_of(merged: Merged) -> check.SourceOf:
    """Return a look-up of the file that set a field."""

    def look_up(kind: str, name: str, field: str) -> str:
        exact = merged.sources.get((kind, name, field))
        if exact is not None:
            return exact
        for (k, n, _field), source in merged.sources.items():
            if (k, n) == (kind, name):
                return source
        return "folder"

    return look_up


def _load_table(
    merged: Merged, kind: str, name: str, table: dict
) -> result.Result[typing.Any, Faults]:
    loader = schema.TABLES.get(kind)()
    try:
        return result.Success(loader.load({**table, "name": name}))
    except marshmallow.ValidationError as error:
        messages = error.normalized_messages()
    look_up = source_of(merged)
    return result.Failure(
        [
            _fault(
                look_up(kind, name, field),
                f"{kind}.{name}.{field}",
                _shown(field, table),
                " ".join(map(str, texts)),
                "See docs/reference/folder.md",
            )
            for field, texts in messages.items()
        ]
    )


def _shown(field: str, table: dict) -> str:
    if field == "token_sha256":
        return "[hidden]"
    return repr(table[field])[:80] if field in table else "(missing)"


def _fault(
    source: str, field: str, value: str, message: str, remedy: str
) -> errors.InvalidField:
    return errors.InvalidField(
        message=message,
        remedy=f"{remedy}.",
        source=source,
        field=field,
        value=value,
    )


def _one_fault(
    source: str, field: str, value: str, message: str, remedy: str
) -> result.Result[typing.Any, Faults]:
    return result.Failure([_fault(source, field, value, message, remedy)])
