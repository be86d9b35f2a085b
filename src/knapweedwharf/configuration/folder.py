"""Parses a folder of TOML files and merges them in name order.

A field in a later file overrides the same field in an earlier file.
Every invalid field yields a typed error with file, field, value and
remedy.
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
_PARSE_CACHE_SIZE = 2_048
_FILE_NAME = re.compile(r"^[a-z0-9][a-z0-9._-]{0,120}\.toml$")

Files = dict[str, str]
"""Maps a file name to its text."""

Faults = list[errors.InvalidField]


@dataclasses.dataclass(frozen=True)
class MergedFolder:
    """A folder's merged tables and the file that set each field.

    :ivar tables: maps table kind to name to field to value.
    :ivar sources: maps (kind, name, field) to the file that set it.
    :ivar overridden: maps (kind, name, field) to the earlier files that
        set it, in order.
    """

    tables: dict[str, dict[str, dict[str, typing.Any]]]
    sources: dict[tuple[str, str, str], str]
    overridden: dict[tuple[str, str, str], list[str]] = dataclasses.field(
        default_factory=dict
    )


def read(path: pathlib.Path) -> result.Result[Files, Faults]:
    """Read the files of a folder; skip hidden files and ``*.md``."""
    if not path.is_dir():
        return _single_fault(
            str(path),
            "folder",
            "",
            "Not a folder.",
            "Give the path of a folder",
        )
    try:
        found = sorted(os.scandir(path), key=lambda entry: entry.name)
    except OSError as error:
        return _single_fault(
            str(path), "folder", "", f"{error.strerror}.", "Make it readable"
        )
    files: Files = {}
    faults: Faults = []
    first_names: dict[tuple[int, int], str] = {}
    for entry in found:
        if entry.name.startswith(".") or entry.name.endswith(".md"):
            continue
        text = _read_file(entry, first_names)
        if isinstance(text, result.Failure):
            faults.append(text.failure())
        else:
            files[entry.name] = text.unwrap()
    return result.Failure(faults) if faults else result.Success(files)


def _read_file(
    entry: os.DirEntry, first_names: dict[tuple[int, int], str]
) -> result.Result[str, errors.InvalidField]:
    name = _printable(entry.name)
    try:
        if not entry.name.endswith(".toml") or not entry.is_file():
            return result.Failure(
                _fault(
                    name, "file", "", "Not a .toml file.", "Move it elsewhere"
                )
            )
        status = os.stat(entry.path)
        first_name = first_names.setdefault(
            (status.st_dev, status.st_ino), name
        )
        if first_name != name:
            return result.Failure(_duplicate_file(name, first_name))
        with open(entry.path, "rb") as file:
            content = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        text = f"Cannot read the file: {error.strerror}."
        return result.Failure(
            _fault(name, "file", "", text, "Make it readable or remove it")
        )
    return _decode(name, content)


def _decode(
    name: str, content: bytes
) -> result.Result[str, errors.InvalidField]:
    try:
        return result.Success(content.decode("utf-8"))
    except UnicodeDecodeError as error:
        if error.start > MAX_FILE_BYTES - 4:
            return result.Failure(_file_too_long(name))
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
    files: Files,
    *,
    revision: int,
    accepted: bool = False,
    before: model.Configuration | None = None,
) -> result.Result[model.Configuration, Faults]:
    """Parse, merge and check files; return the configuration or faults.

    :param accepted: the files belong to an accepted revision, whose
        references and guarantees have been checked already.
    :param before: the accepted configuration that the files change.
    """
    merged = merge(files)
    if isinstance(merged, result.Failure):
        return merged
    built = _build(merged.unwrap(), revision=revision)
    if accepted or isinstance(built, result.Failure):
        return built
    sources = source_of(merged.unwrap())
    faults = check.run(built.unwrap(), sources, before=before)
    return result.Failure(faults[:MAX_FAULTS]) if faults else built


def merge(files: Files) -> result.Result[MergedFolder, Faults]:
    """Merge files in the order of their names."""
    faults: Faults = []
    merged = MergedFolder(tables={}, sources={})
    if len(files) > MAX_FILES:
        return _single_fault(
            "folder",
            "files",
            str(len(files)),
            f"More than {MAX_FILES} files.",
            "Merge small files",
        )
    size_bytes = sum(map(_size_bytes, files.values()))
    if size_bytes > MAX_FOLDER_BYTES:
        return _single_fault(
            "folder",
            "size",
            f"{size_bytes} bytes",
            f"More than {MAX_FOLDER_BYTES} bytes in all.",
            "Shorten the files",
        )
    first_names: dict[str, str] = {}
    for name in sorted(files):
        found = _merge_file(merged, name, files[name])
        first_name = first_names.setdefault(files[name].strip(), name)
        if first_name != name and not found and "[" in files[name]:
            found = [_duplicate_file(name, first_name)]
        faults.extend(found)
    faults = faults[:MAX_FAULTS]
    return result.Failure(faults) if faults else result.Success(merged)


def _size_bytes(text: str) -> int:
    return len(text.encode(errors="replace"))


def _merge_file(merged: MergedFolder, name: str, text: str) -> Faults:
    if not _FILE_NAME.fullmatch(name):
        shown = _printable(name)
        return [
            _fault(
                shown,
                "file name",
                shown,
                "Invalid name.",
                "Use lower-case letters, digits, '.', '_' and '-', and .toml",
            )
        ]
    if _size_bytes(text) > MAX_FILE_BYTES:
        return [_file_too_long(name)]
    parsed = _parse(text)
    if isinstance(parsed, result.Failure):
        return [
            _fault(name, "syntax", "", parsed.failure(), "Correct the TOML")
        ]
    faults: Faults = []
    for kind, tables in parsed.unwrap().items():
        faults.extend(_merge_kind(merged, name, kind, tables))
    return faults


@functools.lru_cache(maxsize=_PARSE_CACHE_SIZE)
def _parse(text: str) -> result.Result[dict[str, typing.Any], str]:
    try:
        text.encode()
        return result.Success(tomllib.loads(text))
    except RecursionError:
        return result.Failure("Nested too deeply.")
    except UnicodeEncodeError:
        return result.Failure("Contains characters that UTF-8 cannot encode.")
    except ValueError as error:
        return result.Failure(f"{str(error)[:200]}.")


def _file_too_long(name: str) -> errors.InvalidField:
    return _fault(
        name,
        "size",
        f"over {MAX_FILE_BYTES} bytes",
        f"Longer than {MAX_FILE_BYTES} bytes.",
        "Split the file",
    )


def _duplicate_file(name: str, first_name: str) -> errors.InvalidField:
    return _fault(
        name,
        "file",
        first_name,
        f"Identical to {first_name}.",
        "Remove one of them",
    )


def _printable(value: typing.Any) -> str:
    """Return a short printable form of any value."""
    try:
        shown = value if isinstance(value, str) else reprlib.repr(value)
    except (ValueError, RecursionError):
        return "(too long to show)"
    return shown.encode("ascii", "backslashreplace").decode()[:80]


def _merge_kind(
    merged: MergedFolder, source: str, kind: str, tables: typing.Any
) -> Faults:
    if kind not in schema.TABLES.names():
        known = ", ".join(schema.TABLES.names())
        return [
            _fault(
                source,
                _printable(kind),
                "",
                "Unknown table kind.",
                f"Use: {known}",
            )
        ]
    if not isinstance(tables, dict):
        text = f"Write [{kind}.NAME] and its fields below"
        return [_fault(source, kind, _printable(tables), "Not a table.", text)]
    faults: Faults = []
    for name, table in tables.items():
        place = f"{kind}.{_printable(name)}"
        if not isinstance(table, dict):
            text = f"Write [{kind}.NAME] and its fields below"
            faults.append(
                _fault(source, place, _printable(table), "Not a table.", text)
            )
        elif not schema.NAME_PATTERN.fullmatch(name):
            text = "Use lower-case letters, digits and hyphens"
            faults.append(
                _fault(source, place, _printable(name), "Invalid name.", text)
            )
        else:
            _merge_table(merged, source, kind, name, table)
    return faults


def _merge_table(
    merged: MergedFolder, source: str, kind: str, name: str, table: dict
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
    merged: MergedFolder, *, revision: int
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
    return result.Success(configuration)


def source_of(merged: MergedFolder) -> check.SourceOf:
    """Return a function that looks up the file that set a field.

    For a field that no file sets, it returns the first file of the
    table.
    """

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
    merged: MergedFolder, kind: str, name: str, table: dict
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
                _shown_value(field, table),
                " ".join(map(str, texts)),
                "See docs/reference/folder.md",
            )
            for field, texts in messages.items()
        ]
    )


def _shown_value(field: str, table: dict) -> str:
    if field == "token_sha256":
        return "[hidden]"
    return _printable(table[field]) if field in table else "(missing)"


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


def _single_fault(
    source: str, field: str, value: str, message: str, remedy: str
) -> result.Result[typing.Any, Faults]:
    return result.Failure([_fault(source, field, value, message, remedy)])
