"""Registries of named implementations, filled by decorators."""

from __future__ import annotations

from collections import abc
import typing

Variant = typing.TypeVar("Variant")


class Registry(typing.Generic[Variant]):
    """Interchangeable implementations by name.

    :param subject: what is registered, for error messages.
    """

    def __init__(self, *, subject: str) -> None:
        self._subject = subject
        self._variants: dict[str, Variant] = {}

    def register(self, name: str) -> abc.Callable[[Variant], Variant]:
        """Return a decorator that registers a variant under ``name``."""

        def add_variant(variant: Variant) -> Variant:
            if name in self._variants:
                raise ValueError(
                    f"{self._subject} {name!r} is registered twice"
                )
            self._variants[name] = variant
            return variant

        return add_variant

    def get(self, name: str) -> Variant:
        """Return a variant; KeyError lists the registered names."""
        if name not in self._variants:
            raise KeyError(
                f"Unknown {self._subject} {name!r}; use one of {self.names()}."
            )
        return self._variants[name]

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._variants)
