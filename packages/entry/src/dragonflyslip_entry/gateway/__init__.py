"""The gateway: an entry configured by the manifest of a platform.

A platform is the hosting system that runs the targets and registers them. Its
manifest is a versioned record of all routes, services and limits.

An entry is a process of the load balancer. In this package, all entries are
gateways.

Only the platform's adapter knows its header names, record formats and store
protocol; see :mod:`dragonflyslip_entry.gateway.adapters`.
"""
