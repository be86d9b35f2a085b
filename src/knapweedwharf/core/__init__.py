"""Decisions as pure functions of state and events: no I/O, no clock."""
