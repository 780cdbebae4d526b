"""Rollouts: moving the requests of a service to targets of one version."""
