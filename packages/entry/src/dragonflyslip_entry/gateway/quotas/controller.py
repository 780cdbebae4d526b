"""Keeps leases and tokens over the links between gateways."""

import asyncio
import collections.abc

from dragonflyslip_core import accounts as account_types
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_core import membership
from dragonflyslip_core import quotas
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway import clocks
from dragonflyslip_entry.gateway import error_responses
from dragonflyslip_entry.gateway import peer_network
from dragonflyslip_entry.gateway.quotas import statistics
from dragonflyslip_entry import logs

TICK_S = 0.05
# Longest time that a request waits for a grant. A wait costs its caller less
# than a rejection below the quota.
MAX_WAIT_S = 0.2
# Idle accounts are dropped this often.
DROP_PERIOD_S = 5.0
REASON = 'quota-exceeded'


class QuotaController:
    """Admits requests of accounts with a limit.

    :param clock: returns seconds, suspensions of the machine included.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        network: peer_network.PeerNetwork,
        bounds: quotas.QuotaBounds,
        clock: collections.abc.Callable[[], float] = clocks.elapsed_clock_s,
    ):
        self.board = board
        self.network = network
        self.clock = clock
        self.loop = asyncio.get_running_loop()
        now = clock()
        self.limiter = quotas.QuotaLimiter(bounds, board.rng, now)
        self.owner = quotas.QuotaOwner(bounds, board.rng, now)
        self.statistics = statistics.QuotaStatistics()
        self._manifest: manifest_types.Manifest | None = None
        self._names: frozenset[str] = frozenset()
        self._waiting: dict[str, set[asyncio.Future[None]]] = {}
        self._dropped_at = now
        network.handlers[quotas.QuotaAsk] = self._receive_ask
        network.handlers[quotas.QuotaGrant] = self._receive_grant

    async def run(self) -> None:
        """Send asks that are due until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            try:
                self._tick()
            except Exception as error:
                # Every gateway has the same accounts, and would end as well.
                self.board.count('program_faults')
                logs.fault('quotas not updated', error)

    async def limit(
        self, call: calls.Call
    ) -> error_responses.ErrorResponse | None:
        """Return the error response of a request over its quota, else None.

        A request that is admitted keeps its token until :meth:`finish`.
        """
        account = call.account
        if account is None or account.rate_per_s <= 0:
            return None
        self._apply_manifest()
        decision = self.limiter.admit(account, self.clock())
        if isinstance(decision, quotas.Waiting):
            decision = await self._wait(account)
        if isinstance(decision, quotas.Admitted):
            call.quota_token = decision
            self.statistics.admitted(account.name)
            return None
        self.statistics.limited(account.name)
        self.board.count('quota_exceeded')
        return error_responses.ErrorResponse(
            429,
            REASON,
            round(decision.retry_after_s, 3),
            route=call.route.name,
        )

    def finish(self, call: calls.Call) -> None:
        """Return the token of a request that certainly did not run."""
        token, call.quota_token = call.quota_token, None
        if token is not None and not call.may_have_run:
            self.limiter.put_back(token, self.clock())

    async def _wait(
        self, account: account_types.Account
    ) -> quotas.Admitted | quotas.Limited:
        waiting = self._waiting.setdefault(account.name, set())
        future = self.loop.create_future()
        waiting.add(future)
        shard = quotas.shard_of(account.name)
        try:
            self._ask(shard)
            # Asks of a shard keep a distance, so one may be due later.
            self.loop.call_later(quotas.ASK_SPACING_S, self._ask, shard)
            async with asyncio.timeout(MAX_WAIT_S):
                await future
        except TimeoutError:
            self.board.count('quota_waits_unanswered')
        finally:
            waiting.discard(future)
            if not waiting:
                self._waiting.pop(account.name, None)
            self.limiter.end_wait(account, self.clock())
        decision = self.limiter.admit(account, self.clock(), may_wait=False)
        # There is no further wait.
        assert not isinstance(decision, quotas.Waiting)
        return decision

    def _tick(self) -> None:
        self._apply_manifest()
        if not self.limiter.accounts.by_shard:
            return
        now = self.clock()
        names = frozenset(self.network.gateways)
        if names != self._names:
            self._names = names
            self.limiter.set_gateways(names, now)
            self.owner.size.record(len(names), now)
        self._send(self.limiter.due_asks(now))
        self.statistics.log(self.loop.time())
        if now - self._dropped_at > DROP_PERIOD_S:
            self._dropped_at = now
            self.limiter.drop_idle(now)

    def _apply_manifest(self) -> None:
        manifest = self.board.manifest
        if manifest is self._manifest:
            return
        self._manifest = manifest
        directory = manifest.accounts
        listed = () if directory is None else directory.accounts
        sharded = quotas.ShardedAccounts(listed)
        self.limiter.accounts = self.owner.accounts = sharded

    def _ask(self, shard: int) -> None:
        self._send(self.limiter.due_asks_of(shard, self.clock()))

    def _send(
        self, asks: collections.abc.Iterable[quotas.OutgoingAsk]
    ) -> None:
        for outgoing in asks:
            if outgoing.owner == self.network.own_id.name:
                grant = self.owner.handle(
                    self.network.own_id, outgoing.ask, self.clock()
                )
                if grant is not None:
                    self._receive_grant(self.network.own_id, grant)
            elif not self.network.send(outgoing.owner, outgoing.ask):
                self.limiter.unsent(
                    outgoing.ask.shard, outgoing.owner, self.clock()
                )

    def _receive_ask(
        self, sender: membership.EntryId, ask: quotas.QuotaAsk
    ) -> None:
        self._apply_manifest()
        grant = self.owner.handle(sender, ask, self.clock())
        if grant is not None:
            self.network.send(sender.name, grant)

    def _receive_grant(
        self, sender: membership.EntryId, grant: quotas.QuotaGrant
    ) -> None:
        now = self.clock()
        self.limiter.apply(sender.name, grant, now)
        for item in grant.accounts:
            self._wake(item.account, now)

    def _wake(self, account: str, now: float) -> None:
        """Let as many requests go on as there are tokens, or all if short."""
        waiting = self._waiting.get(account)
        if not waiting or not self.limiter.is_answered(account, now):
            return
        tokens = self.limiter.tokens_held(account, now)
        for number, future in enumerate(list(waiting)):
            if number >= tokens and not self.limiter.is_short(account, now):
                return
            if not future.done():
                future.set_result(None)
