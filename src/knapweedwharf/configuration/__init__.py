"""Operators' folder: parse, merge, check, publish and follow."""
