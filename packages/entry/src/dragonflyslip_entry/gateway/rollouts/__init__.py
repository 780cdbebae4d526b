"""Rollouts at a gateway: decisions, reports, versions of requests, status.

:class:`.controller.RolloutController` follows orders and decisions, and
:class:`.selection.VersionSelection` applies them to requests.
"""
