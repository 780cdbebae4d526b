"""Identities of requests."""

import pytest

from dragonflyslip_core import request_identity


def identity(method='GET', host='app', path='/a', body=b''):
    half = request_identity.path_identity(method, host, path)
    return request_identity.identity(half, body)


class TestIdentity:
    def test_repeat_has_the_same_identity(self):
        assert identity(body=b'text') == identity(body=b'text')

    @pytest.mark.parametrize(
        'other',
        [
            {'method': 'PUT'},
            {'host': 'other'},
            {'path': '/a?b'},
            {'body': b'text'},
            {'host': 'app/', 'path': 'a'},
        ],
    )
    def test_each_part_counts(self, other):
        assert identity(**other) != identity()
