"""Scheduling of multi-step jobs on executors, with state in the store."""
