"""Choice of executor, limits, retries and claims for requests."""
