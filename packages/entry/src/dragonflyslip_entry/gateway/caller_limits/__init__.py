"""Enforces the limits for callers on their connections."""
