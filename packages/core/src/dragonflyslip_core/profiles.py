"""Validated profiles and services."""

import dataclasses
import typing

from dragonflyslip_core import models


@dataclasses.dataclass(frozen=True)
class Profile:
    """Named traffic settings; units as in :class:`models.ProfileModel`.

    Create instances by :meth:`from_model`, so that every value is within its
    bounds.
    """

    name: str
    deadline_ms: int
    progress_timeout_ms: int
    connect_timeout_ms: int
    max_attempts: int
    retry_budget_percent: float
    retry_delay_ms: int
    hedge_after_ms: int
    hedge_budget_percent: float
    at_most_once_methods: tuple[str, ...]
    missing_key: typing.Literal['refuse', 'run_once']
    key_lifetime_s: int
    slots: int
    cold_concurrency: int
    warmup_s: float
    max_connections_per_target: int
    queue_limit: int
    priority: int
    probe_rate_per_target: float
    probe_rate_fleet: float
    probe_bytes_per_s: int
    idle_connection_s: float
    domain_spill_percent: float
    min_healthy_percent: float
    when_unhealthy: typing.Literal['spread', 'refuse']
    suspicion_ttl_s: int

    @classmethod
    def from_model(cls, name: str, model: models.ProfileModel) -> 'Profile':
        """Return the profile for a validated model.

        >>> Profile.from_model('fast', models.ProfileModel()).slots
        6
        """
        return cls(name=name, **model.model_dump())


@dataclasses.dataclass(frozen=True)
class Service:
    """A service, the name of its profile, and the host names routed to it."""

    name: str
    profile: str
    hosts: tuple[str, ...] = ()

    @classmethod
    def from_model(cls, name: str, model: models.ServiceModel) -> 'Service':
        """Return the service for a validated model."""
        return cls(name=name, profile=model.profile, hosts=model.hosts)


# Presets for two kinds of service. ``stairlift`` is for targets with six slots
# and short deadlines: people wait on the phone for a status response.
# ``kauri`` is for targets with two slots and long deadlines: uploads take
# minutes, and a cold target with two slots has little capacity to spare.
PRESETS: dict[str, models.ProfileModel] = {
    'stairlift': models.ProfileModel(
        deadline_ms=5_000, slots=6, hedge_after_ms=150, max_attempts=2
    ),
    'kauri': models.ProfileModel(
        deadline_ms=30_000,
        slots=2,
        progress_timeout_ms=60_000,
        warmup_s=20.0,
        queue_limit=500,
        max_attempts=3,
    ),
}
