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


def build(kind: type[Kind], document: dict) -> Kind:
    """Build a data class; TypeError when a required field is missing."""
    values = {
        name: _convert(hint, document[name])
        for name, hint in _fields(kind)
        if name in document
    }
    return kind(**values)


def plain(value: typing.Any) -> typing.Any:
    """Return JSON values of data classes, tuples and sets."""
    if dataclasses.is_dataclass(value):
        return {name: plain(getattr(value, name)) for name in _names(value)}
    if isinstance(value, (frozenset, set)):
        return sorted(value)
    if isinstance(value, (tuple, list)):
        return [plain(item) for item in value]
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    return value


@functools.cache
def _fields(kind: type) -> tuple[tuple[str, typing.Any], ...]:
    hints = typing.get_type_hints(kind)
    return tuple(
        (field.name, hints[field.name]) for field in dataclasses.fields(kind)
    )


def _names(value: typing.Any) -> list[str]:
    return [name for name, _hint in _fields(type(value))]


def _convert(hint: typing.Any, value: typing.Any) -> typing.Any:
    if value is None:
        return None
    if dataclasses.is_dataclass(hint):
        return build(hint, value)
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        kinds = [kind for kind in arguments if kind is not type(None)]
        return _convert(kinds[0], value) if len(kinds) == 1 else value
    if origin is tuple and len(arguments) == 2 and arguments[1] is Ellipsis:
        return tuple(_convert(arguments[0], item) for item in value)
    if origin in (frozenset, set, list):
        return origin(_convert(arguments[0], item) for item in value)
    if origin is tuple:
        return tuple(value)
    if origin is dict:
        return {k: _convert(arguments[1], v) for k, v in value.items()}
    return value
