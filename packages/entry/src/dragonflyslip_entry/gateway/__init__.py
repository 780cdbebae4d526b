"""The gateway: an entry configured by the manifest of a platform.

Only the platform's adapter knows its header names, record formats and store
protocol; see :mod:`dragonflyslip_entry.gateway.adapters`.
"""
