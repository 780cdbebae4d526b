"""Clients of the log service and the instance list."""
