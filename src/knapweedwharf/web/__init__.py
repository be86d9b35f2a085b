"""HTTP interface towards callers and operators."""
