"""Clients and servers that speak the users' platform's protocols.

They convert its documents to and from the types of ``fleet.model``.
"""
