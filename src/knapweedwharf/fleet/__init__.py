"""Scheduling of step jobs over executors, on a platform with a store."""
