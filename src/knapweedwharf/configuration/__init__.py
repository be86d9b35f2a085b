"""Operators' configuration folder: parse, check, publish and follow."""
