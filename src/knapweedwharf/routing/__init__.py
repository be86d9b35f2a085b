"""Request routing: executor selection, admission, retries and claims."""
