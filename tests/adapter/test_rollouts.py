"""Rollouts from the order to the status, over loopback."""

import asyncio

from tests.adapter import rollout_parts as parts

# Bound of the platform for a bad version.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50


class TestRollout:
    async def test_good_version_succeeds(self, platform):
        # Guards against a success while a gateway still has requests at the
        # old targets, which the platform stops at once.
        gateways, old, new = await parts.start(platform)
        async with parts.callers(platform, gateways) as replies:
            await asyncio.sleep(0.5)
            await parts.order(platform)
            await parts.until(lambda: parts.state(platform) == 'succeeded')
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
            await parts.until(lambda: parts.state(platform) == 'rolled_back')
            await asyncio.sleep(1.0)
            reached = len(parts.runs(new))
            await asyncio.sleep(0.5)
            assert len(parts.runs(new)) == reached
            requests = len(replies) - before
        assert reached <= EXPOSURE_SHARE * requests + EXPOSURE_SLACK
