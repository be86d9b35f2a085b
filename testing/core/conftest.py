"""Fixtures for the tests of the decision core."""

from __future__ import annotations

import pytest

from testing.core import scenario


@pytest.fixture
def site() -> scenario.Site:
    """Return a data centre without workers."""
    return scenario.Site()
