"""Kinds of routes that a manifest names, among them unknown ones."""

import logging
import pathlib
import re

import pytest

import dragonflyslip_emulator as emulator
from dragonflyslip_entry import logs

_PLATFORM_PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'platform.md'
# Above the size up to which responses are read whole before they are sent.
_LARGE_BYTES = 1_000_000


def documented_kinds() -> list[str]:
    """Return the route types in the table of docs/platform.md."""
    section = _PLATFORM_PAGE.read_text().partition('## Kinds of routes')[2]
    section = section.partition('\n## ')[0]
    return re.findall(r'^\| `(\w+)` \|', section, re.MULTILINE)


async def start(platform, *kinds: str, **fields) -> None:
    """Start a gateway with two targets and a route for each kind."""
    await platform.add_target()
    await platform.add_target()
    await platform.publish(*(platform.route(k, **fields) for k in kinds))
    await platform.start()


class TestKinds:
    async def test_route_of_each_documented_type_is_known(self, platform):
        # Guards against a page that names a type which the adapter treats as
        # unknown.
        kinds = documented_kinds()
        assert len(kinds) >= 4
        await start(platform, *kinds)
        board = platform.gateway.board
        assert board.manifest.routes_of_unknown_kind == ()
        for kind in kinds:
            assert (await platform.call(f'/{kind}/1')).status == 200

    async def test_unknown_type_leaves_the_other_routes_in_service(
        self, platform, caplog
    ):
        # Guards against one unknown value that takes a deployment down: the
        # manifest was refused as a whole, and so was every later version.
        caplog.set_level(logging.INFO, logs.LOGGER.name)
        await start(platform, 'safe', 'novel')
        for kind in ('safe', 'novel'):
            assert (await platform.call(f'/{kind}/1')).status == 200
        board = platform.gateway.board
        assert board.counters['unknown_kind_routes'] == 1
        (line,) = [
            record
            for record in caplog.records
            if record.message == 'routes of unknown kind'
        ]
        assert line.routes == ('route-novel',)
        await platform.publish(platform.route('safe', 'grantdesk'))
        await platform.until(lambda: board.manifest.version == 2)

    @pytest.mark.parametrize(
        'fault', [emulator.Fault.RESET, emulator.Fault.ERROR]
    )
    async def test_request_of_unknown_type_runs_once(self, platform, fault):
        # Guards against the repeat of a request that may not run twice.
        await start(platform, 'novel', max_attempts=3)
        for target in platform.targets:
            target.faults.append(fault)
        reply = await platform.call('/novel/1')
        assert reply.status in (500, 502)
        assert len(platform.runs()) == 1

    async def test_slow_request_of_unknown_type_is_not_hedged(self, platform):
        # Guards against a hedge of a request that may not run twice.
        await start(platform, 'novel', max_attempts=3)
        for target in platform.targets:
            target.work_s = 0.6
        assert (await platform.call('/novel/1')).status == 200
        assert len(platform.runs()) == 1


class TestDownloads:
    @pytest.mark.parametrize(
        'fault', [emulator.Fault.RESET, emulator.Fault.CUT]
    )
    async def test_download_that_is_cut_early_is_sent_again(
        self, platform, fault
    ):
        # Guards against the loss of a download of which the caller has not
        # received a byte.
        await start(platform, 'download')
        for target in platform.targets:
            target.faults.append(fault)
        platform.targets[1].faults.clear()
        for _ in range(4):
            assert (await platform.call('/download/1')).status == 200
        assert len(platform.runs()) <= 5

    async def test_large_download_that_is_cut_is_never_whole(self, platform):
        # Guards against a truncated download that looks complete.
        await start(platform, 'download')
        for target in platform.targets:
            target.body = bytes(_LARGE_BYTES)
            target.faults.append(emulator.Fault.CUT)
        reply = await platform.call('/download/1')
        assert reply.broken
        assert len(platform.runs()) == 1
