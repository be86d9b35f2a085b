"""Scheduling of a data centre: election, worker sessions and gang starts.

The decision core (``knapweedwharf.core``) decides; this package feeds it
events and carries out its decisions.
"""
