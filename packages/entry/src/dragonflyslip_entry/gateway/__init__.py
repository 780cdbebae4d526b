"""The gateway: an entry configured by the manifest of a platform.

The manifest is a versioned record of all routes, services and limits.

Only the platform's adapter knows its header names, record formats and store
protocol; see :mod:`dragonflyslip_entry.gateway.adapters`.
"""
