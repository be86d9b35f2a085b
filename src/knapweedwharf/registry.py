"""Registries: named variants of one behaviour, filled by decorators."""

from __future__ import annotations

from collections import abc
import typing

Variant = typing.TypeVar("Variant")


class Registry(typing.Generic[Variant]):
    """Variants of one behaviour by name.

    :param subject: what the variants are, for error messages.
    """

    def __init__(self, *, subject: str) -> None:
        self._subject = subject
        self._variants: dict[str, Variant] = {}

    def register(self, name: str) -> abc.Callable[[Variant], Variant]:
        """Return a decorator that files a variant under ``name``."""

        def file_variant(variant: Variant) -> Variant:
            if name in self._variants:
                raise ValueError(f"{self._subject} {name!r} stands twice")
            self._variants[name] = variant
            return variant

        return file_variant

    def get(self, name: str) -> Variant:
        """Return the variant; KeyError names those that exist."""
        if name not in self._variants:
            raise KeyError(
                f"No {self._subject} {name!r}; use one of {self.names()}."
            )
        return self._variants[name]

    def names(self) -> list[str]:
        """Return the registered names, sorted."""
        return sorted(self._variants)
