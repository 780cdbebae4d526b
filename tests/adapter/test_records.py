"""Records of the store that cannot be used."""

import json

import pytest
from returns import result

from dragonflyslip_adapter import records

_BEAT = {
    'address': '10.0.0.1:80',
    'born': 1,
    'info': {'service': 'casebook', 'zone': 'zone-a', 'slots': 2},
    'status': {'state': 'ready', 'sequence': 1, 'cold_remaining': '1.5s'},
}


def _beat(**changes) -> bytes:
    return json.dumps({**_BEAT, **changes}).encode()


class TestRegistration:
    def test_record_is_decoded(self):
        found = records.decode_registration('i-1', _beat()).unwrap()
        assert (found.host, found.port) == ('10.0.0.1', 80)
        assert found.cold_s == 1.5

    def test_unknown_fields_are_passed_over(self):
        found = records.decode_registration('i-1', _beat(new={'a': [1]}))
        assert isinstance(found, result.Success)

    @pytest.mark.parametrize(
        'value',
        [
            b'',
            b'\xff',
            b'[]',
            b'null',
            b'{"address": ' + b'[' * 100_000,
            _beat()[:-1],
            _beat(address='10.0.0.1'),
            _beat(address='10.0.0.1:80\n'),
            _beat(address=7),
            _beat(born='1'),
            _beat(info={**_BEAT['info'], 'slots': 0}),
            _beat(info={**_BEAT['info'], 'service': ''}),
            _beat(status={**_BEAT['status'], 'state': 'gone'}),
            _beat(status={**_BEAT['status'], 'cold_remaining': 3}),
            _beat(status={**_BEAT['status'], 'cold_remaining': '3 s'}),
            _beat(status={**_BEAT['status'], 'sequence': True}),
        ],
        ids=range(16),
    )
    def test_malformed_record_is_a_failure_with_a_reason(self, value):
        """Guards against a record that ends the process or passes."""
        outcome = records.decode_registration('i-1', value)
        assert isinstance(outcome, result.Failure)
        assert outcome.failure().message
