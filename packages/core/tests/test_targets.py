"""Tests of the load header: malformed reports must be rejected."""

import pytest
from returns import pipeline

from dragonflyslip_core import targets


class TestParseLoadHeader:
    @pytest.mark.parametrize(
        'text',
        [
            '',
            'inflight=3',
            'boot="a"',
            'inflight=-1, boot="a"',
            'inflight=x, boot="a"',
            'inflight=1, boot="a", state=asleep',
            'inflight=1, boot="a", latency=inf',
            'inflight=1, boot="' + 'a' * 600 + '"',
            'inflight=1; boot=a',
        ],
    )
    def test_malformed_header_is_an_error(self, text):
        """Guards against routing by a load that the target did not report."""
        assert not pipeline.is_successful(targets.parse_load_header(text))

    def test_unknown_members_are_skipped(self):
        """Guards against rejecting reports of newer targets."""
        text = 'inflight=2, slots=6, boot="b", colour=red, latency=1.5'
        report = targets.parse_load_header(text).unwrap()
        assert (report.in_flight, report.slots, report.latency_ms) == (
            2,
            6,
            1.5,
        )
