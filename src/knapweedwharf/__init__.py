"""Scheduler for multi-accelerator jobs under guarantees per account."""

from __future__ import annotations

__version__ = "0.1.0"
