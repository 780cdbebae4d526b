"""The operator command line.

An entry is one process of the load balancer. A gateway is an entry that is
configured by a platform's manifest, a versioned record of all routes,
services and limits; other entries read their configuration from the log.
"""
