"""Parse a folder of TOML files and merge it in name order.

A later file's field replaces an earlier one's. Every wrong field
yields a typed error with file, field, value and remedy.
"""

from __future__ import annotations

import dataclasses
import functools
import os
import pathlib
import re
import reprlib
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
MAX_FOLDER_BYTES = 524_288
MAX_FAULTS = 100
_PARSED_FILES = 2_048
_FILE_NAME = re.compile(r"^[a-z0-9][a-z0-9._-]{0,120}\.toml$")

Files = dict[str, str]
"""File name to text."""

Faults = list[errors.InvalidField]


@dataclasses.dataclass(frozen=True)
class Merged:
    """A folder's settings and the file each one comes from.

    :ivar tables: table kind, then name, then field to value.
    :ivar sources: (kind, name, field) to file name.
    :ivar overridden: (kind, name, field) to the earlier files, in order.
    """

    tables: dict[str, dict[str, dict[str, typing.Any]]]
    sources: dict[tuple[str, str, str], str]
    overridden: dict[tuple[str, str, str], list[str]] = dataclasses.field(
        default_factory=dict
    )


def read(path: pathlib.Path) -> result.Result[Files, Faults]:
    """Read the files of a folder; hidden files and ``*.md`` are left."""
    if not path.is_dir():
        return _one_fault(str(path), "folder", "", "Not a folder.", "Name one")
    try:
        found = sorted(os.scandir(path), key=lambda entry: entry.name)
    except OSError as error:
        return _one_fault(
            str(path), "folder", "", f"{error.strerror}.", "Allow to read it"
        )
    files: Files = {}
    faults: Faults = []
    owners: dict[tuple[int, int], str] = {}
    for entry in found:
        if entry.name.startswith(".") or entry.name.endswith(".md"):
            continue
        text = _read_file(entry, owners)
        if isinstance(text, result.Failure):
            faults.append(text.failure())
        else:
            files[entry.name] = text.unwrap()
    return result.Failure(faults) if faults else result.Success(files)


def _read_file(
    entry: os.DirEntry, owners: dict[tuple[int, int], str]
) -> result.Result[str, errors.InvalidField]:
    name = _text(entry.name)
    try:
        if not entry.name.endswith(".toml") or not entry.is_file():
            return result.Failure(
                _fault(
                    name, "file", "", "Not a .toml file.", "Move it elsewhere"
                )
            )
        status = os.stat(entry.path)
        other = owners.setdefault((status.st_dev, status.st_ino), name)
        if other != name:
            return result.Failure(_twice(name, other))
        with open(entry.path, "rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        text = f"Cannot be read: {error.strerror}."
        return result.Failure(
            _fault(name, "file", "", text, "Allow to read it or remove it")
        )
    return _decode(name, content)


def _decode(
    name: str, content: bytes
) -> result.Result[str, errors.InvalidField]:
    try:
        return result.Success(content.decode("utf-8"))
    except UnicodeDecodeError as error:
        if error.start > MAX_FILE_BYTES - 4:
            return result.Failure(_too_long(name))
        shown = repr(content[error.start : error.start + 1])
        return result.Failure(
            _fault(
                name,
                f"byte {error.start}",
                shown,
                "The file is not UTF-8.",
                "Save it in UTF-8",
            )
        )


def load(
    files: Files, *, revision: int, accepted: bool = False
) -> result.Result[model.Configuration, Faults]:
    """Parse, merge and check files; the faults found are returned.

    :param accepted: the files are those of an accepted revision, whose
        references and promises have been checked.
    """
    merged = merge(files)
    if isinstance(merged, result.Failure):
        return merged
    return _build(merged.unwrap(), revision=revision, accepted=accepted)


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
    size_bytes = sum(map(_size_bytes, files.values()))
    if size_bytes > MAX_FOLDER_BYTES:
        return _one_fault(
            "folder",
            "size",
            f"{size_bytes} bytes",
            f"More than {MAX_FOLDER_BYTES} bytes in all.",
            "Shorten it",
        )
    owners: dict[str, str] = {}
    for name in sorted(files):
        found = _merge_file(merged, name, files[name])
        other = owners.setdefault(files[name].strip(), name)
        if other != name and not found and "[" in files[name]:
            found = [_twice(name, other)]
        faults.extend(found)
    faults = faults[:MAX_FAULTS]
    return result.Failure(faults) if faults else result.Success(merged)


def _size_bytes(text: str) -> int:
    return len(text.encode(errors="replace"))


def _merge_file(merged: Merged, name: str, text: str) -> Faults:
    if not _FILE_NAME.fullmatch(name):
        shown = _text(name)
        return [
            _fault(
                shown,
                "file name",
                shown,
                "Not a usable name.",
                "Use lower-case letters, digits, '.', '_' and '-', and .toml",
            )
        ]
    if _size_bytes(text) > MAX_FILE_BYTES:
        return [_too_long(name)]
    parsed = _parse(text)
    if isinstance(parsed, result.Failure):
        return [_fault(name, "syntax", "", parsed.failure(), "Mend the TOML")]
    faults: Faults = []
    for kind, tables in parsed.unwrap().items():
        faults.extend(_merge_kind(merged, name, kind, tables))
    return faults


@functools.lru_cache(maxsize=_PARSED_FILES)
def _parse(text: str) -> result.Result[dict[str, typing.Any], str]:
    try:
        text.encode()
        return result.Success(tomllib.loads(text))
    except RecursionError:
        return result.Failure("Nested too deep.")
    except UnicodeEncodeError:
        return result.Failure("Holds characters that UTF-8 has not.")
    except ValueError as error:
        return result.Failure(f"{str(error)[:200]}.")


def _too_long(name: str) -> errors.InvalidField:
    return _fault(
        name,
        "size",
        f"over {MAX_FILE_BYTES} bytes",
        f"Longer than {MAX_FILE_BYTES} bytes.",
        "Split the file",
    )


def _twice(name: str, other: str) -> errors.InvalidField:
    return _fault(
        name, "file", other, f"The same as {other}.", "Remove one of them"
    )


def _text(value: typing.Any) -> str:
    """Return a short printable form of any value."""
    try:
        shown = value if isinstance(value, str) else reprlib.repr(value)
    except (ValueError, RecursionError):
        return "(too long to show)"
    return shown.encode("ascii", "backslashreplace").decode()[:80]


def _merge_kind(
    merged: Merged, source: str, kind: str, tables: typing.Any
) -> Faults:
    if kind not in schema.TABLES.names():
        known = ", ".join(schema.TABLES.names())
        return [
            _fault(
                source, _text(kind), "", "Unknown table kind.", f"Use: {known}"
            )
        ]
    if not isinstance(tables, dict):
        text = f"Write [{kind}.NAME] and its fields below"
        return [_fault(source, kind, _text(tables), "Not a table.", text)]
    faults: Faults = []
    for name, table in tables.items():
        place = f"{kind}.{_text(name)}"
        if not isinstance(table, dict):
            text = f"Write [{kind}.NAME] and its fields below"
            faults.append(
                _fault(source, place, _text(table), "Not a table.", text)
            )
        elif not schema.NAME_PATTERN.fullmatch(name):
            text = "Use lower-case letters, digits and hyphens"
            faults.append(
                _fault(source, place, _text(name), "Not a usable name.", text)
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
        place = (kind, name, field)
        if place in merged.sources:
            earlier = merged.overridden.setdefault(place, [])
            earlier.append(merged.sources[place])
        merged.sources[place] = source


def _build(
    merged: Merged, *, revision: int, accepted: bool
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
        return result.Failure(faults[:MAX_FAULTS])
    configuration = model.Configuration(
        revision=revision,
        data_centres=built.get("data_centre", {}),
        racks=built.get("rack", {}),
        accounts=built.get("account", {}),
        guarantees=built.get("guarantee", {}),
        services=built.get("service", {}),
        policy=built.get("rule", {}).get("scheduling", model.PolicySpec()),
    )
    if accepted:
        return result.Success(configuration)
    faults = check.run(configuration, source_of(merged))
    return result.Failure(faults) if faults else result.Success(configuration)


def source_of(merged: Merged) -> check.SourceOf:
    """Return a look-up of the file that set a field."""

    first: dict[tuple[str, str], str] = {}
    for (kind, name, _field), source in merged.sources.items():
        first.setdefault((kind, name), source)

    def look_up(kind: str, name: str, field: str) -> str:
        exact = merged.sources.get((kind, name, field))
        return exact or first.get((kind, name), "folder")

    return look_up


@functools.cache
def _schema(kind: str) -> marshmallow.Schema:
    return schema.TABLES.get(kind)()


def _load_table(
    merged: Merged, kind: str, name: str, table: dict
) -> result.Result[typing.Any, Faults]:
    loader = _schema(kind)
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
    return _text(table[field]) if field in table else "(missing)"


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
