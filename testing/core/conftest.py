"""Fixtures of the decision core's tests."""

from __future__ import annotations

import pytest

from testing.core import scenario


@pytest.fixture
def site() -> scenario.Site:
    """Return an empty data centre."""
    return scenario.Site()
