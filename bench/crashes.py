"""Targets hit by a crashing request, and requests lost on a silent pool.

Run ``python -m bench.crashes``; sections 3.8 and 3.9 of the design have the
rules.
"""

import collections
import dataclasses
import functools
import itertools
import random

from dragonflyslip_core import connections
from dragonflyslip_core import profiles
from dragonflyslip_core import suspects
from dragonflyslip_core import targets
from dragonflyslip_testing import queue_model

SEED = 5
ENTRIES = 17
TARGETS = 20
DOMAINS = 4
ROUNDS = 100
REPEATS = 20
RESTART_S = 2.0
NOTICE_S = 0.003
SERVICE_S = 0.02
TTL_S = 600.0


@dataclasses.dataclass(frozen=True)
class Case:
    """What is sent beside the crashing request.

    :param slots: requests in flight at each target, all innocent.
    :param common: share of them that have one fingerprint.
    :param pause_s: seconds between repeats by the caller; 0 for all at
        once.
    :param acquit: completed runs cancel marks.
    """

    slots: int
    common: float
    pause_s: float
    acquit: bool = True


class Model:
    """Crashing requests, each repeated by its caller at random entries."""

    def __init__(self, case: Case, marks: bool):
        self.case = case
        self.marks = marks
        self.rng = random.Random(SEED)
        self.simulation = queue_model.Simulation()
        self.tables = [suspects.SuspectTable() for _ in range(ENTRIES)]
        self.targets = [
            targets.Target(f't{i}', 's', '127.0.0.1', 1, f'd{i % DOMAINS}')
            for i in range(TARGETS)
        ]
        self.boots = [0] * TARGETS
        self.down_until = [0.0] * TARGETS
        # Retried innocents at each target: entry and fingerprint.
        self.retried = [[] for _ in range(TARGETS)]
        self.names = itertools.count()
        self.counts = collections.Counter()
        self.hit = collections.Counter()

    def run(self) -> None:
        """Run all rounds, each in its own 60 s."""
        for number in range(ROUNDS):
            for repeat in range(REPEATS):
                self.simulation.at(
                    number * 60.0 + repeat * self.case.pause_s,
                    functools.partial(self.crash, f'crash-{number}'),
                )
            self.simulation.at(number * 60.0 + 59.0, self.probe_innocent)
        self.simulation.run(ROUNDS * 60.0)

    def innocent(self) -> str:
        """Return the fingerprint of an innocent request."""
        if self.rng.random() < self.case.common:
            return 'common'
        return f'innocent-{next(self.names)}'

    def allowed(self, entry: int, fingerprint: str) -> bool:
        """Return whether an entry lets a request run."""
        table, now = self.tables[entry], self.simulation.now
        return not self.marks or not table.is_suspect(fingerprint, now)

    def crash(self, fingerprint: str) -> None:
        """Send a crashing request at a random entry to a live target."""
        now = self.simulation.now
        entry = self.rng.randrange(ENTRIES)
        self.counts['sent'] += 1
        if not self.allowed(entry, fingerprint):
            self.counts['refused'] += 1
            return
        live = [i for i in range(TARGETS) if self.down_until[i] <= now]
        if not live:
            self.counts['no-target'] += 1
            return
        place = self.rng.choice(live)
        self.hit[fingerprint] += 1
        # Without the crash, a common request would have been answered.
        self.complete_common()
        flight = [(entry, fingerprint), *self.retried[place]]
        self.counts['innocents-hit-again'] += len(self.retried[place])
        self.retried[place] = []
        while len(flight) < self.case.slots:
            flight.append((self.rng.randrange(ENTRIES), self.innocent()))
        self.counts['innocents-in-crash'] += len(flight) - 1
        target, boot = self.targets[place], str(self.boots[place])
        for at, lost in flight:
            table = self.tables[at]
            table.connection_lost(target, boot, lost, TTL_S, now)
        for at in {at for at, _ in flight}:
            for mark in self.tables[at].connection_refused(
                target.instance_id, now
            ):
                self.notify(at, mark)
        self.boots[place] += 1
        self.down_until[place] = now + RESTART_S
        for at, lost in flight[1:]:
            self.simulation.at(
                now + 0.02, functools.partial(self.retry, at, lost)
            )

    def notify(self, sender: int, mark: suspects.CrashMark) -> None:
        """Send a mark to all peers."""
        for peer, table in enumerate(self.tables):
            if peer != sender:
                self.simulation.at(
                    self.simulation.now + NOTICE_S,
                    functools.partial(self.merge, table, mark),
                )

    def merge(
        self, table: suspects.SuspectTable, mark: suspects.CrashMark
    ) -> None:
        """Deliver a mark that spent its transit on the wire."""
        table.merge(mark, self.simulation.now)

    def retry(self, entry: int, fingerprint: str) -> None:
        """Retry an innocent request that a crash has cut off."""
        if not self.allowed(entry, fingerprint):
            self.counts['innocents-refused'] += 1
            return
        now = self.simulation.now
        live = [i for i in range(TARGETS) if self.down_until[i] <= now]
        if not live:
            self.counts['innocents-no-target'] += 1
            return
        self.counts['innocents-retried'] += 1
        place = self.rng.choice(live)
        item = (entry, fingerprint)
        self.retried[place].append(item)
        self.simulation.at(
            now + self.rng.expovariate(1 / SERVICE_S),
            functools.partial(self.answer, place, item),
        )

    def answer(self, place: int, item: tuple[int, str]) -> None:
        """Answer a retried innocent, unless its target has crashed."""
        if item not in self.retried[place]:
            return
        self.retried[place].remove(item)
        if self.case.acquit:
            entry, fingerprint = item
            self.tables[entry].completed(fingerprint, self.simulation.now)

    def complete_common(self) -> None:
        """Answer the common request once at every entry."""
        if self.case.acquit and self.case.common:
            for table in self.tables:
                table.completed('common', self.simulation.now)

    def probe_innocent(self) -> None:
        """Send one common request to each entry and count refusals."""
        if not self.case.common:
            return
        for entry in range(ENTRIES):
            self.counts['common-sent'] += 1
            self.counts['common-refused'] += not self.allowed(entry, 'common')


@dataclasses.dataclass
class Pool:
    """An entry's pool of one target whose connections all go silent.

    :param retire: use the rules; otherwise each connection closes only
        after its own timeout.
    :param idempotent: whether requests may use the pool.
    """

    size: int
    interval_s: float
    timeout_s: float
    retire: bool
    idempotent: bool = True

    def run(self) -> tuple[int, int, float]:
        """Return requests lost, connections opened, and the last loss."""
        preset = profiles.PRESETS['stairlift']
        profile = profiles.Profile.from_model('stairlift', preset)
        simulation = queue_model.Simulation()
        rules = connections.ConnectionRules.from_profile(profile)
        if not self.retire:
            rules.idle_s = float('inf')
        rules.set_share(1.0)
        for number in range(self.size):
            rules.opened(number, 0.0)
        for number in range(self.size):
            rules.release(number, True, 0.0)
        numbers = itertools.count(self.size)
        lost: list[float] = []

        def request() -> None:
            now = simulation.now
            rules.poll(now)
            choice = rules.acquire(self.idempotent or not self.retire, now)
            if isinstance(choice, connections.Reuse):
                number = choice.connection_id
            else:
                number = next(numbers)
                rules.opened(number, now)
            if number < self.size:
                if self.retire:
                    rules.await_progress(number, now)
                simulation.at(now + self.timeout_s, lambda: time_out(number))
            else:
                simulation.at(
                    now + 0.02, lambda: rules.release(number, True, now + 0.02)
                )
            if now < 120.0:
                simulation.at(now + self.interval_s, request)

        def time_out(number: int) -> None:
            lost.append(simulation.now)
            if self.retire:
                rules.silence(number, simulation.now)
            else:
                rules.closed(number)

        simulation.at(0.1, request)
        simulation.run(200.0)
        return len(lost), next(numbers) - self.size, max(lost, default=0.0)


def main() -> None:
    """Print both tables."""
    print(
        f'seed {SEED}, {ENTRIES} entries, {TARGETS} targets, {ROUNDS} '
        f'crashing requests, each sent {REPEATS} times'
    )
    for case, marks in itertools.product(
        [
            Case(6, 0.0, 1.0),
            Case(2, 0.0, 1.0),
            Case(6, 0.0, 0.04),
            Case(6, 0.0, 0.01),
            Case(6, 0.0, 0.0),
            Case(6, 0.3, 1.0),
            Case(6, 0.3, 1.0, acquit=False),
        ],
        (False, True),
    ):
        model = Model(case, marks)
        model.run()
        print(
            f'slots={case.slots} common={case.common:.0%} '
            f'pause={case.pause_s} s acquit={case.acquit!s:5} '
            f'marks={marks!s:5} targets hit a request: mean '
            f'{sum(model.hit.values()) / ROUNDS:.2f}, most '
            f'{max(model.hit.values())}; '
            + ' '.join(f'{k}={v}' for k, v in sorted(model.counts.items()))
        )
    print('\nsilent pool of one target, one request each interval, 120 s')
    for size, interval, retire in itertools.product(
        (4, 14), (0.1, 1.0, 4.0), (False, True)
    ):
        lost, opened, last = Pool(size, interval, 5.0, retire).run()
        print(
            f'pool={size:2} interval={interval} s rules={retire!s:5} '
            f'lost={lost:2} last loss seen at {last:5.1f} s opened={opened}'
        )
    lost, opened, _ = Pool(14, 0.1, 5.0, True, idempotent=False).run()
    print(f'non-idempotent, rules=True: lost={lost} opened={opened}')


if __name__ == '__main__':
    main()
