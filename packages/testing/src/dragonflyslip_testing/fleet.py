"""Simulated fleet of entries and targets, to test the limits on cold targets.

It runs the production membership and warm-up logic of several entries in
simulated time. Requests are counted at the targets that receive them.
Tests and benchmarks inject faults. A fact is what an entry reports to its
peers about the state of a target.
"""

import dataclasses
import heapq
import itertools
import math
import random
import typing

from dragonflyslip_core import blackboard
from dragonflyslip_core import membership
from dragonflyslip_core import target_facts
from dragonflyslip_core import targets
from dragonflyslip_core import warmup
from returns import pipeline

TICK_S = 0.2
_REFRESH_PERIOD_S = 0.4
_LIST_PERIOD_S = 1.0
# Each request advances the simulated time by this much.
_SEND_INTERVAL_S = 1e-4


@dataclasses.dataclass
class SimTarget:
    """A target that counts the requests that its processes run.

    :param process_number: increases with each restart.
    :param first_request_at: time at which the current process received its
        first request.
    :param running: end time of each running request, by request number.
    :param peak_excess: highest number of concurrent requests above the limit.
    :param peak_cold_concurrency: highest number of concurrent requests while
        the target was cold.
    :param cold_requests: number of requests received while it was cold.
    """

    target_id: str
    failure_domain: str
    rules: warmup.WarmupRules
    up: bool = True
    process_number: int = 1
    warm: bool = False
    first_request_at: float | None = None
    running: dict[int, float] = dataclasses.field(default_factory=dict)
    peak_excess: int = 0
    peak_cold_concurrency: int = 0
    cold_requests: int = 0

    @property
    def boot_id(self) -> str:
        """Boot id of the current process."""
        return f'{self.target_id}-{self.process_number:04d}'

    def allowed(self, now: float) -> float:
        """Return how many concurrent requests the current process can run."""
        if self.warm:
            return math.inf
        steps = 0
        if self.first_request_at is not None:
            elapsed = now - self.first_request_at
            steps = int(elapsed / self.rules.step_s + 1e-9)
        limit = self.rules.cold_concurrency << min(steps, 32)
        if steps and limit >= self.rules.slots:
            self.warm = True
            return math.inf
        return min(limit, self.rules.slots)

    def receive(self, request: int, end_at: float, now: float) -> None:
        """Run a request and record by how much it exceeds the limit."""
        if self.first_request_at is None:
            self.first_request_at = now
        self.running[request] = end_at
        allowed = self.allowed(now)
        if allowed < math.inf:
            self.cold_requests += 1
            self.peak_cold_concurrency = max(
                self.peak_cold_concurrency, len(self.running)
            )
            self.peak_excess = max(
                self.peak_excess, len(self.running) - int(allowed)
            )

    def restart(self) -> None:
        """Replace the process with a new, cold one."""
        self.process_number += 1
        self.warm = False
        self.first_request_at = None
        self.running.clear()

    def report(self) -> targets.LoadReport:
        """Return the load report of the current process."""
        return targets.LoadReport(
            in_flight=len(self.running),
            slots=self.rules.slots,
            boot_id=self.boot_id,
        )


@dataclasses.dataclass
class SimConnection:
    """A connection to one process of a target; a restart makes it stale."""

    opened_at: float
    process_number: int


class SimEntry:
    """One entry process with its decision logic and its connections.

    :param wall_s: Unix seconds at the start of the process.
    :param clock_offset: its monotonic time minus the simulated time, in
        seconds.
    :ivar board: state that the controllers of the entry share.
    :ivar inbox: handlers of the messages that it has not processed yet.
    :ivar list_lag_s: age of the instance list that it reads.
    :ivar probe_deadlines: for each target with an unanswered probe, when the
        next one may be sent.
    """

    def __init__(
        self,
        entry_id: membership.EntryId,
        wall_s: float,
        clock_offset: float,
        controller: type[warmup.WarmupController],
    ):
        self.entry_id = entry_id
        self.clock_offset = clock_offset
        self.board = blackboard.Blackboard()
        self.membership = membership.Membership(entry_id, wall_s)
        self.board.membership = self.membership
        self.warmup = controller(self.board)
        self.alive = True
        self.paused_until = float('-inf')
        self.inbox: list[typing.Callable[[float], None]] = []
        self.connections: dict[str, list[SimConnection]] = {}
        self.next_heartbeat = 0.0
        self.next_refresh = 0.0
        self.next_list = 0.0
        self.list_lag_s = 0.0
        self.probe_deadlines: dict[str, float] = {}
        self.sends_requests = True

    def local_time(self, now: float) -> float:
        """Return this process's monotonic time."""
        return now + self.clock_offset


class SimFleet:
    """Entries, targets and the network between them.

    Each entry sends as many requests as its warm-up controller allows.

    :param seed: seed of all random choices.
    :param controller: class of the warm-up controllers.
    :param request_s: shortest and longest duration of a request.
    :param domains: number of failure domains of the targets.
    :ivar loss_rate: probability that a message between entries is lost.
    :ivar delay_s: one-way delay of a message in seconds.
    :ivar blocked_links: pairs of entry names that cannot reach each other.
    """

    def __init__(
        self,
        seed: int,
        entries: int,
        target_rules: typing.Sequence[warmup.WarmupRules],
        controller: type[warmup.WarmupController] = warmup.WarmupController,
        request_s: tuple[float, float] = (0.05, 6.0),
        domains: int = 4,
    ):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.controller = controller
        self.request_s = request_s
        self.loss_rate = 0.0
        self.delay_s = 0.005
        self.blocked_links: set[frozenset[str]] = set()
        self._events: list[tuple[float, int, SimEntry, typing.Any]] = []
        self._numbers = itertools.count(1)
        self._list_history: list[tuple[float, frozenset[str]]] = []
        self.entries: list[SimEntry] = []
        self.targets = {
            f't{number}': SimTarget(
                f't{number}', f'domain-{number % domains}', rules
            )
            for number, rules in enumerate(target_rules)
        }
        names = [f'e{number:02d}' for number in range(entries)]
        self.set_listed_entries(names)
        for name in names:
            self.start_entry(name)

    # Faults and other changes to the fleet.

    def set_listed_entries(self, names: typing.Iterable[str]) -> None:
        """Change the entries in the instance list.

        Each entry sees the change after its own lag.
        """
        self._list_history.append((self.now, frozenset(names)))

    def start_entry(self, name: str) -> SimEntry:
        """Start a process of the entry ``name``."""
        entry = SimEntry(
            membership.EntryId(name, self.rng.getrandbits(64)),
            wall_s=1_700_000_000 + self.now,
            clock_offset=self.rng.uniform(-50, 5000),
            controller=self.controller,
        )
        entry.list_lag_s = self.rng.uniform(0, 4)
        entry.next_heartbeat = self.now + self.rng.uniform(
            0, membership.HEARTBEAT_S
        )
        for target in self.targets.values():
            entry.warmup.add_target(
                targets.Target(
                    target.target_id, 's', '', 1, target.failure_domain
                ),
                target.rules,
            )
        self.entries.append(entry)
        for peer in self.running_entries():
            # On connecting, each peer sends all the facts that it has.
            if peer is not entry:
                facts = peer.warmup.all_facts(peer.local_time(self.now))
                self._schedule(entry, self._facts_handler(entry, facts))
        return entry

    def kill_entry(self, entry: SimEntry) -> None:
        """End a process; requests that it has sent continue at the targets."""
        entry.alive = False

    def pause_entry(self, entry: SimEntry, seconds: float) -> None:
        """Suspend a process; its messages are queued meanwhile."""
        entry.paused_until = max(entry.paused_until, self.now + seconds)

    def restart_target(self, target: SimTarget, silent: bool = False) -> None:
        """Restart a target.

        :param silent: whether entries are left unaware that their
            connections have closed.
        """
        target.restart()
        for entry in self.running_entries():
            closed = entry.connections.get(target.target_id)
            if closed and not silent:
                self._schedule(
                    entry,
                    self._connection_lost_handler(entry, target.target_id),
                )

    def set_warm(self, target_ids: typing.Iterable[str] = ()) -> None:
        """Make targets warm, and let all entries know, as after long uptime.

        :param target_ids: the targets, by default all.
        """
        chosen = [self.targets[name] for name in target_ids or self.targets]
        for entry in self.running_entries():
            for target in chosen:
                target.warm = True
                local_now = entry.local_time(self.now)
                entry.warmup.observe_report(
                    target.target_id, target.report(), local_now, local_now
                )
                # Warm, thus without a limit of a warm-up ramp; confirmed now.
                fact = target_facts.TargetFact(
                    target.target_id, target.boot_id, True, 0, 0.0
                )
                entry.warmup.observe_fact(fact, local_now)

    # Simulation steps.

    def running_entries(self) -> list[SimEntry]:
        """Return the entry processes that have not been killed."""
        return [entry for entry in self.entries if entry.alive]

    def peak_excess(self) -> int:
        """Return the highest ``peak_excess`` of all targets."""
        return max(target.peak_excess for target in self.targets.values())

    def run(self, seconds: float) -> None:
        """Advance the simulated time in steps of ``TICK_S``."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self.step()

    def step(self) -> None:
        """Process all events that are due and run each entry once."""
        for target in self.targets.values():
            ended = [r for r, at in target.running.items() if at <= self.now]
            for request in ended:
                del target.running[request]
        while self._events and self._events[0][0] <= self.now:
            _, _, entry, handler = heapq.heappop(self._events)
            entry.inbox.append(handler)
        order = self.running_entries()
        self.rng.shuffle(order)
        for entry in order:
            if entry.paused_until > self.now:
                continue
            if self.rng.random() < 0.5:
                # A process may send before it reads its input, also just
                # after a pause.
                self.send_all(entry)
            inbox, entry.inbox = entry.inbox, []
            for handler in inbox:
                handler(entry.local_time(self.now))
            self._run_periodic_tasks(entry)
            self.send_all(entry)

    def send_all(self, entry: SimEntry) -> None:
        """Send one request to every target to which this entry may send."""
        if not entry.sends_requests:
            return
        for target in self.targets.values():
            self.send_one(entry, target)

    def send_one(self, entry: SimEntry, target: SimTarget) -> bool:
        """Send one request if the entry's warm-up controller allows it.

        :return: whether it was allowed.
        """
        if not target.up:
            return False
        self.now += _SEND_INTERVAL_S
        local_now = entry.local_time(self.now)
        pool = entry.connections.setdefault(target.target_id, [])
        if not pool or self.rng.random() < 0.5:
            pool.append(SimConnection(local_now, target.process_number))
            del pool[:-4]
        connection = self.rng.choice([pool[-1], self.rng.choice(pool)])
        permit = entry.warmup.start(
            target.target_id, connection.opened_at, local_now
        )
        if not pipeline.is_successful(permit):
            return False
        if connection.process_number != target.process_number:
            pool.remove(connection)
            # The response was not complete, and the target failed.
            entry.warmup.finish(permit.unwrap(), False, False, local_now)
            entry.warmup.observe_connection_lost(target.target_id, local_now)
            return True
        request = next(self._numbers)
        end_at = self.now + self.rng.uniform(*self.request_s)
        target.receive(request, end_at, self.now)
        process_number = target.process_number
        timeout_s = self.rng.choice([0.3, 30.0])

        def answer(at: float) -> None:
            if target.process_number == process_number:
                entry.warmup.observe_report(
                    target.target_id, target.report(), local_now, at
                )
                entry.warmup.finish(permit.unwrap(), True, True, at)
            else:
                entry.warmup.finish(permit.unwrap(), False, False, at)
                entry.warmup.observe_connection_lost(target.target_id, at)

        def time_out(at: float) -> None:
            entry.warmup.finish(permit.unwrap(), False, True, at)

        if end_at - self.now > timeout_s:
            self._schedule(entry, time_out, timeout_s)
        else:
            self._schedule(entry, answer, end_at - self.now + self.delay_s)
        return True

    # Internals of a step.

    def _schedule(self, entry, handler, delay_s: float | None = None) -> None:
        due_at = self.now + (self.delay_s if delay_s is None else delay_s)
        heapq.heappush(
            self._events, (due_at, next(self._numbers), entry, handler)
        )

    def _run_periodic_tasks(self, entry: SimEntry) -> None:
        local_now = entry.local_time(self.now)
        if self.now >= entry.next_list:
            entry.next_list = self.now + _LIST_PERIOD_S
            visible = [
                names
                for at, names in self._list_history
                if at <= self.now - entry.list_lag_s
            ]
            names = visible[-1] if visible else self._list_history[0][1]
            entry.membership.observe_list(names, local_now)
        if self.now >= entry.next_refresh:
            entry.next_refresh = self.now + _REFRESH_PERIOD_S
            entry.warmup.refresh(local_now)
            for target in self.targets.values():
                self._probe(entry, target)
        notices = entry.warmup.take_notices(local_now)
        if notices:
            self._send_to_peers(entry, None, notices)
        if self.now >= entry.next_heartbeat:
            entry.next_heartbeat = self.now + membership.HEARTBEAT_S
            report = entry.membership.next_report(local_now)
            self._send_to_peers(
                entry, report, entry.warmup.recent_facts(local_now)
            )

    def _send_to_peers(self, entry, report, facts) -> None:
        for peer in self.running_entries():
            if peer is entry:
                continue
            link = frozenset((entry.entry_id.name, peer.entry_id.name))
            if (
                link in self.blocked_links
                or self.rng.random() < self.loss_rate
            ):
                continue
            delay_s = self.delay_s * self.rng.uniform(0.5, 1.5)
            if report is not None:
                echo = entry.membership.echo_for(peer.entry_id.name)
                sent = dataclasses.replace(report, echo=echo)
                self._schedule(
                    peer, self._heartbeat_handler(peer, sent), delay_s
                )
            self._schedule(peer, self._facts_handler(peer, facts), delay_s)

    def _probe(self, entry: SimEntry, target: SimTarget) -> None:
        local_now = entry.local_time(self.now)
        probe_deadline = entry.probe_deadlines.get(
            target.target_id, float('-inf')
        )
        pool = entry.connections.get(target.target_id, [])
        has_new_connection = any(
            connection.opened_at > local_now - _REFRESH_PERIOD_S
            for connection in pool
        )
        if self.now < probe_deadline or not target.up:
            return
        if not has_new_connection and not entry.warmup.needs_probe(
            target.target_id, local_now
        ):
            return
        entry.probe_deadlines[target.target_id] = self.now + 2.0
        # The load is that of now; the response arrives later.
        report = target.report()

        def answer(at: float) -> None:
            entry.probe_deadlines.pop(target.target_id, None)
            entry.warmup.observe_report(
                target.target_id, report, local_now, at
            )

        self._schedule(entry, answer, self.delay_s)

    @staticmethod
    def _heartbeat_handler(peer: SimEntry, report: membership.MemberReport):
        return lambda at: peer.membership.observe_heartbeat(report, at)

    @staticmethod
    def _facts_handler(peer: SimEntry, facts: list[target_facts.TargetFact]):
        def handle(at: float) -> None:
            for fact in facts:
                peer.warmup.observe_fact(fact, at)

        return handle

    @staticmethod
    def _connection_lost_handler(entry: SimEntry, target_id: str):
        return lambda at: entry.warmup.observe_connection_lost(target_id, at)
