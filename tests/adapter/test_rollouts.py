"""Rollouts from the order to the status, over loopback."""

import asyncio

from tests.adapter import callers
from tests.adapter import rollout_parts as parts

# Bound of the platform for a bad version.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
STREAM_BYTES = 50_000_000
REQUEST_MS = 30_000
HANGING_PATH = '/safe/hangs'
# Without unfinished requests, an order of 12 s succeeds within this time after
# its last stage began.
HELD_BACK_S = 2.0


class TestRollout:
    async def test_good_version_succeeds(self, platform):
        # Guards against a success while a gateway still has requests at the
        # old targets, which the platform stops at once.
        gateways, old, new = await parts.start(platform)
        async with parts.callers(platform, gateways) as replies:
            await asyncio.sleep(0.5)
            await parts.order(platform)
            await parts.until_state(platform, 'succeeded')
            ended = asyncio.get_running_loop().time()
            for target in old:
                target.crash()
            await asyncio.sleep(0.5)
        late = [run for run in parts.runs(old) if run.ended_at > ended]
        assert late == []
        assert parts.status(platform)['target_version'] == parts.NEW
        assert parts.runs(new)
        assert [reply.status for reply in replies if reply.status != 200] == []
        numbers = [item['number'] for item in parts.decisions(platform)]
        assert numbers == list(range(1, len(numbers) + 1))

    async def test_share_follows_the_setting(self, platform):
        # Guards against a setting that does not reach the decider, and a
        # share that the other gateways do not read from its decision.
        gateways, _, _ = await parts.start(
            platform, settings={'exposure_share': 0.05}
        )
        await parts.order(platform, duration='20s')
        found = [gateway.rollouts.known for gateway in gateways]
        await parts.until(
            lambda: all(
                parts.SERVICE in known and known[parts.SERVICE].share == 0.04
                for known in found
            ),
            5.0,
        )
        assert parts.decisions(platform)[-1]['share'] == 0.04

    async def test_bad_version_is_rolled_back(self, platform):
        # Guards against more requests to a bad version than operators accept.
        gateways, old, new = await parts.start(platform, fails_every=3)
        async with parts.callers(platform, gateways) as replies:
            await parts.order(platform)
            before = len(replies)
            await parts.until_state(platform, 'rolled_back')
            await asyncio.sleep(1.0)
            reached = len(parts.runs(new))
            await asyncio.sleep(0.5)
            assert len(parts.runs(new)) == reached
            requests = len(replies) - before
        assert reached <= EXPOSURE_SHARE * requests + EXPOSURE_SLACK

    async def test_slow_version_is_rolled_back(self, platform):
        # Guards against a judge that sees failures only: all responses of
        # the version are good.
        gateways, old, new = await parts.start(platform, work_s=0.1)
        for target in old:
            target.work_s = 0.02
        async with parts.callers(platform, gateways) as replies:
            await parts.order(platform)
            before = len(replies)
            await parts.until_state(platform, 'rolled_back')
            requests = len(replies) - before
            await asyncio.sleep(1.0)
            reached = len(parts.runs(new))
            await asyncio.sleep(0.5)
            assert len(parts.runs(new)) == reached
        assert parts.decisions(platform)[-1]['reason'] == 'slower'
        assert {reply.status for reply in replies} == {200}
        assert reached <= EXPOSURE_SHARE * requests + EXPOSURE_SLACK


class TestUnfinishedRequests:
    """Requests at old targets, which are stopped after a success."""

    async def test_stream_holds_back_the_success(self, platform):
        # Guards against a response that is cut because only requests without
        # a head of their response count.
        gateways, old, _ = await parts.start(platform)
        await self._publish(platform)
        first = gateways[0]
        caller = await callers.KeptConnection.open(
            int(first.options.listen.rpartition(':')[2])
        )
        caller.writer.transport.pause_reading()
        path = f'/download/1?bytes={STREAM_BYTES}'
        caller.send(callers.encode_request(path, 'GET', 'stream', REQUEST_MS))
        await parts.until(lambda: parts.runs(old))
        try:
            await self._expect_success_after(
                platform, gateways, 1, caller.close
            )
        finally:
            caller.close()

    async def test_hedge_holds_back_the_success(self, platform):
        # Guards against hedges that are not counted where they run.
        gateways, old, _ = await parts.start(platform)
        await self._publish(platform)
        first = gateways[0]
        for target in old:
            target.hangs_on = HANGING_PATH
        call = asyncio.create_task(
            platform.call(
                HANGING_PATH, listen=first.options.listen, wait_ms=REQUEST_MS
            )
        )
        await parts.until(lambda: first.board.counters['hedges'])
        await parts.until(lambda: len(parts.runs(old)) == 2)
        try:
            await self._expect_success_after(
                platform, gateways, 2, call.cancel
            )
        finally:
            call.cancel()

    async def _publish(self, platform) -> None:
        await platform.publish(
            *(
                platform.route(kind, timeout='30s')
                for kind in ('safe', 'download')
            )
        )
        boards = [gateway.board for gateway in platform.tasks]
        await parts.until(
            lambda: all(
                board.manifest.version == platform.version for board in boards
            )
        )

    async def _expect_success_after(
        self, platform, gateways, unfinished, release
    ) -> None:
        """Expect a success only once the requests of a gateway have ended.

        :param unfinished: number of its requests at old targets.
        :param release: ends them.
        """
        rollouts = gateways[0].rollouts
        async with parts.callers(platform, gateways[1:]):
            await parts.order(platform, duration='12s')
            await parts.until(
                lambda: (
                    parts.SERVICE in rollouts.known
                    and rollouts.known[parts.SERVICE].stage.name == 'LAST'
                )
            )
            await asyncio.sleep(HELD_BACK_S)
            assert parts.state(platform) == 'running'
            known = rollouts.known[parts.SERVICE]
            assert rollouts.versions.unfinished_old(known) == unfinished
            release()
            await parts.until_state(platform, 'succeeded')
