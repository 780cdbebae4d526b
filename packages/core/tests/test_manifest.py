"""Routes by host and prefix, and how a route divides its requests."""

import collections
import random

import pytest

from dragonflyslip_core import manifest


def _route(prefix, host='app.example', services=(('a', 1.0),)):
    return manifest.Route(
        name=prefix,
        host=host,
        prefix=prefix,
        kind=manifest.RouteKind.IDEMPOTENT,
        timeout_s=1.0,
        target_latency_s=0.3,
        priority=0,
        max_attempts=2,
        services=tuple(
            manifest.WeightedService(name, weight) for name, weight in services
        ),
    )


class TestFindRoute:
    @pytest.mark.parametrize(
        ('host', 'path', 'found'),
        [
            ('app.example', '/a/1', '/a/'),
            ('app.example', '/a/b/1', '/a/b/'),
            ('APP.example:80', '/a/1', '/a/'),
            ('app.example', '/a', None),
            ('app.example', '/ab/1', None),
            ('other.example', '/a/1', None),
            ('', '/a/1', None),
        ],
    )
    def test_longest_prefix_of_the_host_wins(self, host, path, found):
        published = manifest.Manifest(1, (_route('/a/'), _route('/a/b/')), {})
        route = published.find_route(host, path)
        assert (None if route is None else route.name) == found


class TestChooseService:
    def test_requests_follow_the_weights(self):
        # Guards against a share that is more than 0.1 off its weight.
        route = _route('/', services=(('a', 70.0), ('b', 30.0)))
        rng = random.Random(5)
        drawn = collections.Counter(
            route.choose_service(rng) for _ in range(300)
        )
        assert abs(drawn['a'] / 300 - 0.7) < 0.1
