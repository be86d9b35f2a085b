"""Clients of external systems: store, VM list, workers, executors."""
