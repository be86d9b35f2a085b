"""Test doubles of the platform, workers and executors."""
