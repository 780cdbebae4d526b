"""Routes, services and limits that operators publish as one document.

Times are in seconds. A manifest is immutable; a newer version replaces it.
"""

import collections.abc
import dataclasses
import enum
import functools
import random

from dragonflyslip_core import accounts as account_types


class RouteKind(enum.StrEnum):
    """Whether requests of a route may be repeated, whatever their method.

    ``IDEMPOTENT`` and ``DOWNLOAD`` requests may run more than once; downloads
    also have large responses. ``AT_MOST_ONCE`` and ``UPLOAD`` requests may
    not; uploads also have large bodies. ``UNKNOWN`` is a kind that this
    version does not know, so its requests run at most once.
    """

    IDEMPOTENT = 'idempotent'
    DOWNLOAD = 'download'
    AT_MOST_ONCE = 'at-most-once'
    UPLOAD = 'upload'
    UNKNOWN = 'unknown'

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self in _REPEATABLE_KINDS

    @property
    def large(self) -> bool:
        """Whether sending a request to a distant target is expensive."""
        return self in _LARGE_KINDS


_REPEATABLE_KINDS = frozenset({RouteKind.IDEMPOTENT, RouteKind.DOWNLOAD})
_LARGE_KINDS = frozenset({RouteKind.DOWNLOAD, RouteKind.UPLOAD})


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service and its share of a route's requests.

    :param weight: relative to the weights of the route's other services.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """Where requests of one host and path prefix go, and how.

    :param prefix: path prefix; begins and ends with a slash.
    :param timeout_s: longest time that a caller waits for a response.
    :param target_latency_s: latency up to which a response is on time.
    :param priority: 0 is the most urgent, unlike in a profile, where the
        lowest priority is shed first.
    :param max_attempts: number of targets that one request may be sent to.
    :param services: at least one, each with a positive weight.
    :param public: whether it takes requests without the key of an account.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    services: tuple[WeightedService, ...]
    public: bool = False

    def choose_service(self, rng: random.Random) -> str:
        """Choose the service of one request at random, by weight.

        >>> route = Route('r', 'h', '/', RouteKind.UPLOAD, 1, 1, 0, 1,
        ...               (WeightedService('a', 1.0),))
        >>> route.choose_service(random.Random(1))
        'a'
        """
        if len(self.services) == 1:
            return self.services[0].service
        weights = [part.weight for part in self.services]
        return rng.choices(self.services, weights)[0].service


@dataclasses.dataclass(frozen=True)
class ServiceRules:
    """Settings for all targets of one service.

    :param health_path: path of the health endpoint.
    :param max_connections: limit for one target, over all entries.
    :param cold_start_s: duration of a cold start.
    :param cold_rate: requests per second that a cold target can handle, from
        all entries together.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float
    cold_rate: float


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Size and time limits for requests of callers."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class Manifest:
    """One version of all routes, services and limits.

    :param accounts: the client accounts; None if requests need no key. A
        directory without accounts knows no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: collections.abc.Mapping[str, ServiceRules]
    limits: CallerLimits = CallerLimits()
    accounts: account_types.AccountDirectory | None = None

    @property
    def routes_of_unknown_kind(self) -> tuple[str, ...]:
        """Names of the routes whose kind this version does not know."""
        return tuple(
            route.name
            for route in self.routes
            if route.kind is RouteKind.UNKNOWN
        )

    @functools.cached_property
    def routes_by_host(self) -> dict[str, tuple[Route, ...]]:
        """Routes by host in lower case, the longest prefix first."""
        hosts: dict[str, list[Route]] = {}
        for route in self.routes:
            hosts.setdefault(route.host.lower(), []).append(route)
        return {
            host: tuple(
                sorted(routes, key=lambda r: len(r.prefix), reverse=True)
            )
            for host, routes in hosts.items()
        }

    @functools.cached_property
    def least_urgent_priority(self) -> dict[str, int]:
        """Priority of the least urgent request (highest number), by service.

        The requests of any account may go to any service.
        """
        lowest = 0
        if self.accounts is not None:
            lowest = self.accounts.least_urgent_priority
        ranks: dict[str, int] = {}
        for route in self.routes:
            for part in route.services:
                known = ranks.get(part.service, lowest)
                ranks[part.service] = max(known, route.priority)
        return ranks

    def check_key(
        self,
        credentials: account_types.Credentials,
        route: Route,
        confirmed: bool = True,
    ) -> account_types.KeyCheck:
        """Return how a request of a route is treated.

        :param confirmed: whether this manifest is known to be recent enough.
        """
        if self.accounts is None:
            return account_types.OPEN
        return self.accounts.check(credentials, route.public, confirmed)

    def priority_rank(
        self,
        service: str,
        route: Route,
        account: account_types.Account | None,
    ) -> int:
        """Return the ranks by which a request is more urgent than the least.

        The priority of an account goes before that of the route.
        """
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        return self.least_urgent_priority[service] - priority

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if none.

        :param host: value of the ``Host`` header; it is matched as it is and
            then without its port.
        :param path: path without the query.
        """
        name = host.rsplit(':', 1)[0] if ':' in host else host
        routes = self.routes_by_host
        for candidates in (routes.get(host.lower()), routes.get(name.lower())):
            for route in candidates or ():
                if path.startswith(route.prefix):
                    return route
        return None
