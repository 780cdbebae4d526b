"""Client accounts: their keys in manifests, requests, logs and targets."""

import json

import pytest
from returns import result

from dragonflyslip_adapter import records
from dragonflyslip_core import accounts

KEY = 'key-of-casebook-K7'
# Part of each key in this module that no output may hold.
SECRET = 'K7'


def _manifest(tenants) -> bytes:
    value = {'version': 1, 'routes': [], 'services': [], 'tenants': tenants}
    return json.dumps(value).encode()


class TestRecords:
    def test_accounts_are_decoded(self):
        fields = {'priority': 1, 'rate_per_s': 2.5, 'burst': 4, 'new': [1]}
        value = _manifest([{'name': 'a b', 'api_keys': [KEY], **fields}])
        found = records.decode_manifest(value).unwrap().accounts
        assert found.accounts == (
            accounts.Account.from_keys(
                'a b', [KEY], priority=1, rate_per_s=2.5, burst=4.0
            ),
        )

    @pytest.mark.parametrize('tenants', [[], None])
    def test_empty_list_is_not_a_missing_one(self, tenants):
        # Guards against a list without accounts that opens all routes.
        found = records.decode_manifest(_manifest(tenants)).unwrap()
        assert (found.accounts is None) == (tenants is None)

    @pytest.mark.parametrize(
        'tenants',
        [
            KEY,
            {KEY: 1},
            [{KEY: 1}],
            [{'name': 'a'}],
            [{'api_keys': [KEY]}],
            *(
                [{'name': name, 'api_keys': [KEY]}]
                for name in ('', ' a', 'a\n', 'a\r\nB: c', 'caf\xe9', 7)
            ),
            *(
                [{'name': 'a', 'api_keys': keys}]
                for keys in (
                    KEY,
                    {KEY: 1},
                    [''],
                    [7],
                    [[KEY]],
                    [KEY + ' '],
                    [KEY + '\n'],
                    [KEY + '\xe9'],
                    [KEY * 100],
                )
            ),
            *(
                [{'name': 'a', 'api_keys': [KEY], field: value}]
                for field, values in {
                    'priority': (-1, KEY, 1.5),
                    'rate_per_s': (-1, KEY, 1e9),
                    'burst': (-1, KEY, None),
                }.items()
                for value in values
            ),
        ],
        ids=range(29),
    )
    def test_malformed_account_is_a_failure_without_its_key(self, tenants):
        """Guards against keys in the log line of a refused manifest."""
        outcome = records.decode_manifest(_manifest(tenants))
        assert isinstance(outcome, result.Failure)
        text = outcome.failure().message
        assert text
        assert SECRET not in text

    @pytest.mark.parametrize(
        'end', [b'', b'"', b'\xff"]}]}', b'\x01"]}]}', b'\\x"]}]}']
    )
    def test_broken_text_is_a_failure_without_its_key(self, end):
        """Guards against a parser that quotes what it cannot read."""
        value = _manifest([{'name': 'a', 'api_keys': [KEY]}])
        broken = value[: value.index(b'K7') + 2] + end
        outcome = records.decode_manifest(broken)
        assert isinstance(outcome, result.Failure)
        assert SECRET not in outcome.failure().message
