"""Gateways that keep quotas together, in virtual time, with faults."""

import collections
import dataclasses
import heapq
import itertools
import random

from dragonflyslip_core import accounts
from dragonflyslip_core import membership
from dragonflyslip_core import quotas

TICK_S = 0.05
MAX_WAIT_S = 0.2
LATENCY_S = 0.001


@dataclasses.dataclass
class _Gateway:
    entry_id: membership.EntryId
    limiter: quotas.QuotaLimiter
    owner: quotas.QuotaOwner
    is_up: bool = True
    is_frozen: bool = False
    inbox: list = dataclasses.field(default_factory=list)
    waits: dict = dataclasses.field(default_factory=dict)

    @property
    def runs(self) -> bool:
        """Whether it handles requests and messages now."""
        return self.is_up and not self.is_frozen


class QuotaFleet:
    """Runs the limiters and owners of a fleet on one virtual clock.

    :ivar admitted: times of the admitted requests, by account.
    :ivar refused: number of refused requests, by account.
    :ivar cut: pairs (sender, recipient) whose messages are lost.
    :ivar delays: latency in seconds of the messages of a sender, if longer
        than usual.
    """

    def __init__(
        self,
        size: int,
        limits: list[accounts.Account],
        seed: int = 0,
        registered: bool = True,
    ):
        self.rng = random.Random(seed)
        self.bounds = quotas.QuotaBounds()
        self.now = 1_000.0
        self.accounts = {account.name: account for account in limits}
        self.gateways: dict[str, _Gateway] = {}
        self.admitted: dict[str, list[float]] = collections.defaultdict(list)
        self.refused: collections.Counter[str] = collections.Counter()
        self.messages = 0
        self.cut: set[tuple[str, str]] = set()
        self.delays: dict[str, float] = {}
        self.loss = 0.0
        self._events: list = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        for number in range(size):
            self.start(f'g{number}')
        if registered:
            self.register()

    def start(self, name: str) -> None:
        """Start a gateway, or restart it."""
        entry_id = membership.EntryId(name, next(self._incarnations))
        known = self.gateways.get(name)
        gateway = self.gateways[name] = _Gateway(
            entry_id,
            quotas.QuotaLimiter(self.bounds, self.rng, self.now),
            quotas.QuotaOwner(self.bounds, self.rng, self.now),
        )
        self._set_accounts(gateway)
        if known is not None:
            self._set_names(gateway, list(self.gateways))
        self._push(self.rng.random() * TICK_S, self._tick, gateway)

    def kill(self, name: str) -> None:
        """End a gateway; it stays registered."""
        self.gateways[name].is_up = False

    def freeze(self, name: str) -> None:
        """Suspend a gateway."""
        self.gateways[name].is_frozen = True

    def resume(self, name: str) -> None:
        """Let a gateway go on; it handles what has arrived meanwhile."""
        gateway = self.gateways[name]
        gateway.is_frozen = False
        waiting, gateway.inbox = gateway.inbox, []
        for event, arguments in waiting:
            event(*arguments)

    def remove(self, name: str) -> None:
        """End a gateway and its registration."""
        self.kill(name)
        del self.gateways[name]

    def register(self) -> None:
        """Let all gateways learn which ones are registered."""
        for gateway in self.gateways.values():
            self._set_names(gateway, list(self.gateways))

    def set_limit(self, account: accounts.Account) -> None:
        """Replace the limit of an account at all gateways."""
        self.accounts[account.name] = account
        for gateway in self.gateways.values():
            self._set_accounts(gateway)

    def request_later(self, name: str, account: str, delay_s: float) -> None:
        """Let a request arrive at a gateway after a delay."""
        self._push(delay_s, self._request, name, account)

    def run(self, seconds: float) -> None:
        """Advance the clock and handle what happens in this time."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, event, arguments = heapq.heappop(self._events)
            event(*arguments)
        self.now = end

    def most_in_window(self, account: str) -> int:
        """Return the most requests admitted in any window."""
        times, start, most = self.admitted[account], 0, 0
        for end, at in enumerate(times):
            while times[start] <= at - self.bounds.window_s:
                start += 1
            most = max(most, end + 1 - start)
        return most

    def _push(self, delay_s: float, event, *arguments) -> None:
        item = (self.now + delay_s, next(self._order), event, arguments)
        heapq.heappush(self._events, item)

    def _set_accounts(self, gateway: _Gateway) -> None:
        sharded = quotas.ShardedAccounts(self.accounts.values())
        gateway.limiter.accounts = gateway.owner.accounts = sharded

    def _set_names(self, gateway: _Gateway, names: list[str]) -> None:
        gateway.limiter.set_gateways(names, self.now)
        gateway.owner.size.record(len(names), self.now)

    def _tick(self, gateway: _Gateway) -> None:
        if not gateway.is_up:
            return
        self._push(TICK_S, self._tick, gateway)
        if gateway.runs:
            self._send(gateway, gateway.limiter.due_asks(self.now))

    def _send(self, gateway: _Gateway, asks: list) -> None:
        for outgoing in asks:
            self._transmit(
                gateway, outgoing.owner, self._receive_ask, outgoing.ask
            )

    def _transmit(self, sender: _Gateway, name: str, event, message) -> None:
        pair = (sender.entry_id.name, name)
        recipient = self.gateways.get(name)
        if recipient is sender:
            event(sender, sender, message)
            return
        self.messages += 1
        if pair in self.cut or recipient is None or not recipient.is_up:
            return
        if self.rng.random() < self.loss:
            return
        delay_s = self.delays.get(sender.entry_id.name, LATENCY_S)
        self._push(
            delay_s * (0.5 + self.rng.random()),
            event,
            recipient,
            sender,
            message,
        )

    def _receive_ask(
        self, recipient: _Gateway, sender: _Gateway, ask: quotas.QuotaAsk
    ) -> None:
        if not self._may_handle(recipient, self._receive_ask, sender, ask):
            return
        grant = recipient.owner.handle(sender.entry_id, ask, self.now)
        if grant is not None:
            self._transmit(
                recipient, sender.entry_id.name, self._receive_grant, grant
            )

    def _receive_grant(
        self, recipient: _Gateway, sender: _Gateway, grant: quotas.QuotaGrant
    ) -> None:
        if self._may_handle(recipient, self._receive_grant, sender, grant):
            recipient.limiter.apply(sender.entry_id.name, grant, self.now)
            granted = {item.account for item in grant.accounts}
            for wait, account in list(recipient.waits.items()):
                if account.name in granted and recipient.limiter.is_answered(
                    account.name, self.now
                ):
                    self._end_wait(recipient, wait)

    def _may_handle(self, recipient, event, sender, message) -> bool:
        if recipient.is_frozen:
            recipient.inbox.append((event, (recipient, sender, message)))
        return recipient.runs

    def _request(self, name: str, account_name: str) -> None:
        gateway = self.gateways.get(name)
        if gateway is None or not gateway.runs:
            return
        account = self.accounts[account_name]
        decision = gateway.limiter.admit(account, self.now)
        if isinstance(decision, quotas.Waiting):
            wait = next(self._order)
            gateway.waits[wait] = account
            self._push(MAX_WAIT_S, self._end_wait, gateway, wait)
            shard = quotas.shard_of(account_name)
            self._ask(gateway, shard)
            self._push(quotas.ASK_SPACING_S, self._ask, gateway, shard)
        else:
            self._count(account_name, decision)

    def _ask(self, gateway: _Gateway, shard: int) -> None:
        if gateway.runs:
            asks = gateway.limiter.due_asks_of(shard, self.now)
            self._send(gateway, asks)

    def _end_wait(self, gateway: _Gateway, wait: int) -> None:
        account = gateway.waits.pop(wait, None)
        if account is None or not gateway.runs:
            return
        gateway.limiter.end_wait(account, self.now)
        decision = gateway.limiter.admit(account, self.now, may_wait=False)
        self._count(account.name, decision)

    def _count(self, account: str, decision) -> None:
        if isinstance(decision, quotas.Admitted):
            self.admitted[account].append(self.now)
        else:
            self.refused[account] += 1
