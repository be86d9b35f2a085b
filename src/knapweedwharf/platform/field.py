"""Fields of documents that other programs write, checked and bounded.

A value that passes can be used in any sum, time-out, address or log line
without a further check.
"""

from __future__ import annotations

from collections import abc
import functools
import ipaddress
import json
import typing

from knapweedwharf import codec

MAX_WHOLE = 2**53 - 1
"""The largest whole number that every JSON reader keeps exactly; later than
any time in milliseconds."""

MAX_AMOUNT = 1_000_000_000
"""Thousandths of a core, MB or accelerators: a million cores, a petabyte."""

MAX_DURATION_MS = 10 * 366 * 86_400_000.0
"""Ten years; no time-out, lease or run is longer."""

MAX_NAME_CHARS = 1_000
"""Five times the longest key of the store."""

MAX_ID_CHARS = 200
"""The longest key of the store."""

MAX_PORT = 65_535

_MAX_PORT_DIGITS = 5

Document = dict[str, typing.Any]


class Malformed(ValueError):
    """A document does not match its schema."""


def border(decoder: abc.Callable) -> abc.Callable:
    """Decorate a decoder: whatever it can't decode is ``Malformed``."""

    @functools.wraps(decoder)
    def decode(*arguments: typing.Any) -> typing.Any:
        try:
            return decoder(*arguments)
        except Malformed:
            raise
        except codec.UNDECODABLE as error:
            raise Malformed(
                f"a value has an unexpected type: {error}"
            ) from error

    return decode


def parse(text: bytes) -> Document:
    """Parse a JSON object."""
    try:
        document = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise Malformed("the text is not JSON") from error
    if not isinstance(document, dict):
        raise Malformed("the document is not an object")
    return document


def text_of(value: object, most_chars: int = MAX_NAME_CHARS) -> str:
    """Check a text, which must also be encodable."""
    if not isinstance(value, str) or len(value) > most_chars:
        raise Malformed("a text is missing, too long or of another type")
    if not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError as error:
            raise Malformed("a text has half of a character") from error
    return value


def text(
    document: Document,
    name: str,
    default: str | None = None,
    *,
    most_chars: int = MAX_NAME_CHARS,
) -> str:
    """Read a text."""
    try:
        return text_of(document.get(name, default), most_chars)
    except Malformed as error:
        raise Malformed(f"field {name}: {error}") from error


def first_text(value: object) -> str:
    """Check a text or a list of texts; return the first, or an empty one."""
    if isinstance(value, list):
        value = value[0] if value else ""
    return "" if value is None else text_of(value)


def rows(document: Document, name: str) -> list:
    """Read a list, which may be absent."""
    found = document.get(name)
    if found is None:
        return []
    if not isinstance(found, list):
        raise Malformed(f"field {name} is not a list")
    return found


def whole_of(value: object, most: int = MAX_WHOLE) -> int:
    """Check a whole number from 0, which may be written as 7.0."""
    if type(value) is int and 0 <= value <= most:
        return value
    if type(value) is float and value.is_integer() and 0 <= value <= most:
        return int(value)
    raise Malformed("a number is not whole or is out of range")


def whole(
    document: Document, name: str, default: int = 0, *, most: int = MAX_WHOLE
) -> int:
    """Read a whole number from 0 to ``most``."""
    try:
        return whole_of(document.get(name, default), most)
    except Malformed as error:
        raise Malformed(f"field {name}: {error}") from error


def amount(document: Document, name: str) -> int:
    """Read an amount of cores, memory or accelerators."""
    return whole(document, name, most=MAX_AMOUNT)


def number(document: Document, name: str, *, most: float) -> float:
    """Read a finite number from 0 to ``most``; 0 if it is absent."""
    value = document.get(name, 0.0)
    # The comparison is also false for NaN.
    if type(value) not in (int, float) or not 0 <= value <= most:
        raise Malformed(f"field {name} is not a number or is out of range")
    return float(value)


def seconds(document: Document, name: str) -> float:
    """Read a duration in milliseconds; 0 if it is absent."""
    return number(document, name, most=MAX_DURATION_MS) / 1000.0


def address_of(value: object) -> str:
    """Check an address of the form IPv4:port."""
    host, _colon, port = text_of(value).rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise Malformed("the address does not begin with an IPv4") from error
    is_number = port.isascii() and port.isdigit()
    if not is_number or len(port) > _MAX_PORT_DIGITS:
        raise Malformed("the port is not a number")
    if not 1 <= int(port) <= MAX_PORT:
        raise Malformed("the port is out of range")
    return typing.cast(str, value)


def id_of(value: str) -> str:
    """Check an id that is sent in a header."""
    is_token = value.isascii() and value.isprintable() and " " not in value
    if not is_token or not 0 < len(value) <= MAX_ID_CHARS:
        raise Malformed("the id can't be sent in a header")
    return value
