"""Conversion between data classes and JSON values.

Decoding ignores unknown fields and uses defaults for missing ones, so
that nodes and workers of adjacent versions can communicate.
"""

from __future__ import annotations

import dataclasses
import functools
import types
import typing

UNDECODABLE = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Errors of decoding a document of another form."""

DataClass = typing.TypeVar("DataClass")
Converter = typing.Callable[[typing.Any], typing.Any]


def decode(kind: type[DataClass], document: dict) -> DataClass:
    """Decode a data class; TypeError if a required field is missing."""
    values = {}
    for name, convert in _converters(kind):
        if name in document:
            value = document[name]
            is_converted = convert is None or value is None
            values[name] = value if is_converted else convert(value)
    return kind(**values)


def encode(value: typing.Any) -> typing.Any:
    """Encode data classes, tuples and sets as JSON values."""
    if isinstance(value, (str, int, float)) or value is None:
        return value
    if dataclasses.is_dataclass(value):
        names = _field_names(type(value))
        return {name: encode(getattr(value, name)) for name in names}
    if isinstance(value, (frozenset, set)):
        return sorted(value)
    if isinstance(value, (tuple, list)):
        return [encode(item) for item in value]
    if isinstance(value, dict):
        return {key: encode(item) for key, item in value.items()}
    return value


@functools.cache
def _field_names(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(kind))


@functools.cache
def _converters(kind: type) -> tuple[tuple[str, Converter | None], ...]:
    hints = typing.get_type_hints(kind)
    return tuple(
        (name, _converter(hints[name])) for name in _field_names(kind)
    )


def _converter(hint: typing.Any) -> Converter | None:
    """Return the conversion from JSON to a type; None if none is needed."""
    if dataclasses.is_dataclass(hint):
        return functools.partial(decode, hint)
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        kinds = [kind for kind in arguments if kind is not type(None)]
        return _converter(kinds[0]) if len(kinds) == 1 else None
    if origin in (tuple, frozenset, set):
        return functools.partial(
            _convert_items, origin, _converter(arguments[0])
        )
    if origin is list:
        return functools.partial(
            _convert_items, list, _converter(arguments[0])
        )
    return None


def _convert_items(
    kind: type, convert: Converter | None, items: list
) -> typing.Any:
    return kind(map(convert, items) if convert else items)
