"""Validated models of the items that operators publish.

Field descriptions include the unit; ``docs/operators/profiles.md`` lists the
same fields.
"""

import typing

import pydantic

from dragonflyslip_core import names


def _bounded(default, low, high, description):
    return pydantic.Field(
        default=default, ge=low, le=high, description=description
    )


Name = typing.Annotated[str, pydantic.Field(pattern=names.NAME_PATTERN)]


class _StrictModel(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class ProfileModel(_StrictModel):
    """Timeouts, retries, limits and other traffic rules of a service."""

    deadline_ms: int = _bounded(
        10_000, 100, 3_600_000, 'ms from arrival to response headers'
    )
    progress_timeout_ms: int = _bounded(
        15_000, 100, 300_000, 'ms without a byte on a body before it fails'
    )
    connect_timeout_ms: int = _bounded(
        250, 10, 10_000, 'ms to open a connection to a target'
    )
    max_attempts: int = _bounded(
        2, 1, 5, 'sends of one idempotent call by one entry, hedges included'
    )
    retry_budget_percent: float = _bounded(
        10.0, 0.0, 50.0, 'retries as percent of calls, per service'
    )
    retry_delay_ms: int = _bounded(
        20, 0, 10_000, 'ms, mean of the jittered delay before a retry'
    )
    hedge_after_ms: int = _bounded(
        0, 0, 60_000, 'ms without response headers before a hedge; 0 is off'
    )
    hedge_budget_percent: float = _bounded(
        5.0, 0.0, 50.0, 'hedges as percent of calls, per service'
    )
    at_most_once_methods: tuple[
        typing.Literal['POST', 'PATCH', 'PUT', 'DELETE'], ...
    ] = pydantic.Field(
        default=('POST', 'PATCH'),
        description='methods whose calls run at most once',
    )
    missing_key: typing.Literal['refuse', 'run_once'] = pydantic.Field(
        default='refuse',
        description='how to handle an at-most-once call without a key',
    )
    key_lifetime_s: int = _bounded(
        3_600, 60, 86_400, 's that an idempotency key is accepted'
    )
    slots: int = _bounded(
        6, 1, 10_000, 'concurrent requests that a warm target runs'
    )
    cold_concurrency: int = _bounded(
        1, 1, 1_000, 'concurrent requests to a cold target, from all entries'
    )
    warmup_s: float = _bounded(
        10.0, 0.1, 600.0, 's from the first request to a warm target'
    )
    max_connections_per_target: int = _bounded(
        250, 1, 100_000, 'connections to a target, from all entries'
    )
    queue_limit: int = _bounded(
        200, 0, 100_000, 'calls waiting for a target, per service and entry'
    )
    priority: int = _bounded(5, 0, 9, 'shedding starts at the lowest value')
    probe_rate_per_target: float = _bounded(
        5.0, 0.0, 1_000.0, 'probes per second to one target, from all entries'
    )
    probe_rate_fleet: float = _bounded(
        100.0,
        0.0,
        100_000.0,
        'probes per second to the service, from all entries',
    )
    probe_bytes_per_s: int = _bounded(
        50_000, 0, 100_000_000, 'probe bytes per second, from all entries'
    )
    idle_connection_s: float = _bounded(
        15.0, 1.0, 300.0, 's that an unused connection is kept'
    )
    domain_spill_percent: float = _bounded(
        70.0,
        1.0,
        100.0,
        'near domain utilisation at which calls spill to other domains',
    )
    min_healthy_percent: float = _bounded(
        50.0, 0.0, 100.0, 'healthy targets below which when_unhealthy applies'
    )
    when_unhealthy: typing.Literal['spread', 'refuse'] = pydantic.Field(
        default='spread',
        description='use all in-service targets, or refuse',
    )
    suspicion_ttl_s: int = _bounded(
        600,
        10,
        86_400,
        's for which a request suspected of causing crashes is refused',
    )


class ServiceModel(_StrictModel):
    """A service and the profile that it uses."""

    profile: Name
    hosts: tuple[str, ...] = pydantic.Field(
        default=(),
        description='Host header values; the service name always matches',
    )


class InServiceModel(_StrictModel):
    """Whether a failure domain or an instance receives new work."""

    in_service: bool
    reason: str = pydantic.Field(default='', max_length=500)


class LiftSuspectModel(_StrictModel):
    """Lifts the suspicion of one request fingerprint."""

    reason: str = pydantic.Field(default='', max_length=500)
