"""Accounts, the look-up of their keys, and the priorities of requests."""

import hashlib

import pytest

from dragonflyslip_core import accounts
from dragonflyslip_core import manifest

KEY = 'key-of-casebook-1'


def _directory(*keys_by_account, **fields):
    return accounts.AccountDirectory(
        accounts.Account.from_keys(f'account-{number}', keys, **fields)
        for number, keys in enumerate(keys_by_account)
    )


def _route(priority=2, public=False):
    return manifest.Route(
        name='r',
        host='app.example',
        prefix='/',
        kind=manifest.RouteKind.IDEMPOTENT,
        timeout_s=1.0,
        target_latency_s=0.3,
        priority=priority,
        max_attempts=1,
        services=(manifest.WeightedService('casebook', 1.0),),
        public=public,
    )


class TestCheck:
    @pytest.mark.parametrize(
        ('key', 'public', 'confirmed', 'access', 'reason'),
        [
            (KEY, False, True, 'account', ''),
            (KEY, True, True, 'account', ''),
            ('other', False, True, 'unauthorized', 'unknown-key'),
            ('other', True, True, 'public', ''),
            (None, False, True, 'unauthorized', 'missing-key'),
            (None, True, True, 'public', ''),
            ('a b', False, True, 'unauthorized', 'malformed-key'),
            ('a b', True, True, 'public', ''),
            (KEY, False, False, 'unconfirmed', 'keys-unconfirmed'),
            (KEY, True, False, 'public', ''),
        ],
    )
    def test_key_decides_how_a_request_is_treated(
        self, key, public, confirmed, access, reason
    ):
        # Guards against requests that run with a key that no manifest held.
        credentials = accounts.NO_CREDENTIALS
        if key is not None:
            credentials = accounts.Credentials.from_key(key)
        found = _directory([KEY]).check(credentials, public, confirmed)
        assert (found.access.value, found.reason) == (access, reason)
        assert found.allowed == (not reason)
        assert (found.account is not None) == (access == 'account')

    def test_key_of_two_accounts_belongs_to_the_first(self):
        # Guards against an owner that differs from gateway to gateway.
        directory = _directory([KEY, 'a'], ['b', KEY])
        credentials = accounts.Credentials.from_key(KEY)
        assert directory.check(credentials, False, True).account_name == (
            'account-0'
        )

    def test_no_accounts_know_no_key(self):
        # Guards against an empty list that opens all routes.
        empty = manifest.Manifest(
            1, (), {}, accounts=accounts.AccountDirectory(())
        )
        without = manifest.Manifest(1, (), {})
        credentials = accounts.Credentials.from_key(KEY)
        assert not empty.check_key(credentials, _route()).allowed
        found = without.check_key(credentials, _route())
        assert found is accounts.OPEN

    @pytest.mark.parametrize('count', [1, 5_000])
    @pytest.mark.parametrize('known', [True, False])
    def test_look_up_does_not_depend_on_the_keys(
        self, monkeypatch, count, known
    ):
        """Guards against a cost that tells something of the keys."""
        directory = _directory([f'key-{number}' for number in range(count)])
        looked_up = []

        class Recorded(dict):
            def get(self, digest, default=None):
                looked_up.append(digest)
                return super().get(digest, default)

            def __iter__(self):
                raise AssertionError('the keys are gone through')

        monkeypatch.setattr(directory, '_checks', Recorded(directory._checks))
        key = 'key-0' if known else 'key-x'
        found = directory.check(
            accounts.Credentials.from_key(key), False, True
        )
        assert found.allowed == known
        assert looked_up == [accounts.key_digest(key)]


class TestKeys:
    @pytest.mark.parametrize(
        ('key', 'valid'),
        [
            ('a', True),
            ('~!' * 512, True),
            ('', False),
            ('a' * 1_025, False),
            (' a', False),
            ('a ', False),
            ('a\n', False),
            ('a\x00', False),
            ('a\x7f', False),
            ('caf\xe9', False),
            ('\uff21', False),
        ],
    )
    def test_malformed_keys_are_recognized(self, key, valid):
        assert accounts.is_well_formed(key) == valid
        state = accounts.Credentials.from_key(key).state
        assert state.value == ('present' if valid else 'malformed')

    def test_no_text_form_shows_a_key_or_a_digest(self):
        # Guards against keys in the text of an exception or in test output.
        directory = _directory([KEY])
        credentials = accounts.Credentials.from_key(KEY)
        found = directory.check(credentials, False, True)
        published = manifest.Manifest(1, (), {}, accounts=directory)
        text = repr(
            (directory, directory.accounts, credentials, found, published)
        )
        digest = accounts.key_digest(KEY)
        assert KEY not in text
        assert digest.hex() not in text
        assert repr(digest)[2:-1] not in text
        assert digest == hashlib.blake2b(KEY.encode(), digest_size=32).digest()


class TestPriority:
    @pytest.mark.parametrize(
        ('account_priority', 'rank'), [(0, 5), (5, 0), (None, 3)]
    )
    def test_priority_of_the_account_goes_first(self, account_priority, rank):
        # Guards against urgent accounts that are shed like their route.
        account = accounts.Account('a', (), priority=account_priority)
        other = accounts.Account('b', (), priority=5)
        published = manifest.Manifest(
            1,
            (_route(priority=2),),
            {},
            accounts=accounts.AccountDirectory((account, other)),
        )
        route = published.routes[0]
        assert published.priority_rank('casebook', route, account) == rank
        assert published.priority_rank('casebook', route, None) == 3
