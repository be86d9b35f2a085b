"""Data classes from JSON values, tolerant of other versions.

Unknown fields are dropped and missing ones take their defaults, so
that nodes and workers of neighbouring versions understand each other.
"""

from __future__ import annotations

import dataclasses
import functools
import types
import typing

Kind = typing.TypeVar("Kind")
Convert = typing.Callable[[typing.Any], typing.Any]


def build(kind: type[Kind], document: dict) -> Kind:
    """Build a data class; TypeError when a required field is missing."""
    values = {}
    for name, convert in _converters(kind):
        if name in document:
            value = document[name]
            ready = convert is None or value is None
            values[name] = value if ready else convert(value)
    return kind(**values)


def plain(value: typing.Any) -> typing.Any:
    """Return JSON values of data classes, tuples and sets."""
    if isinstance(value, (str, int, float)) or value is None:
        return value
    if dataclasses.is_dataclass(value):
        names = _names(type(value))
        return {name: plain(getattr(value, name)) for name in names}
    if isinstance(value, (frozenset, set)):
        return sorted(value)
    if isinstance(value, (tuple, list)):
        return [plain(item) for item in value]
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    return value


@functools.cache
def _names(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(kind))


@functools.cache
def _converters(kind: type) -> tuple[tuple[str, Convert | None], ...]:
    hints = typing.get_type_hints(kind)
    return tuple((name, _converter(hints[name])) for name in _names(kind))


def _converter(hint: typing.Any) -> Convert | None:
    """Return what turns a JSON value into the hint's type, if needed."""
    if dataclasses.is_dataclass(hint):
        return functools.partial(build, hint)
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        kinds = [kind for kind in arguments if kind is not type(None)]
        return _converter(kinds[0]) if len(kinds) == 1 else None
    if origin in (tuple, frozenset, set):
        return functools.partial(_collect, origin, _converter(arguments[0]))
    if origin is list:
        return functools.partial(_collect, list, _converter(arguments[0]))
    return None


def _collect(kind: type, convert: Convert | None, items: list) -> typing.Any:
    return kind(map(convert, items) if convert else items)
