"""Small stand-ins for the platform, workers and executors."""
