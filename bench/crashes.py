"""Targets crashed by one request, and requests lost on silent connections.

Run ``python -m bench.crashes``; sections 3.8 and 3.9 of
``docs/design.md`` have the rules.
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
NOTICE_DELAY_S = 0.003
SERVICE_S = 0.02
TTL_S = 600.0


@dataclasses.dataclass(frozen=True)
class Case:
    """The traffic besides the crashing request.

    :param slots: requests in flight at a target when it crashes; all but
        the crashing one are harmless.
    :param common_fraction: fraction of them that share one fingerprint.
    :param pause_s: seconds between repeats by the caller; 0 for all at
        once.
    :param clear_marks: whether a completed request clears the crash marks
        of its fingerprint.
    """

    slots: int
    common_fraction: float
    pause_s: float
    clear_marks: bool = True


class Model:
    """Crashing requests, each repeated by its caller at random entries.

    A crash mark records that a target crashed while it ran a request with a
    given fingerprint.

    :param use_marks: whether entries refuse requests with crash marks.
    """

    def __init__(self, case: Case, use_marks: bool):
        self.case = case
        self.use_marks = use_marks
        self.rng = random.Random(SEED)
        self.simulation = queue_model.Simulation()
        self.suspect_tables = [suspects.SuspectTable() for _ in range(ENTRIES)]
        self.targets = [
            targets.Target(f't{i}', 's', '127.0.0.1', 1, f'd{i % DOMAINS}')
            for i in range(TARGETS)
        ]
        self.boot_numbers = [0] * TARGETS
        self.down_until = [0.0] * TARGETS
        # Retried harmless requests at each target: entry and fingerprint.
        self.retried = [[] for _ in range(TARGETS)]
        self.fingerprint_numbers = itertools.count()
        self.counts = collections.Counter()
        self.targets_hit = collections.Counter()

    def run(self) -> None:
        """Run all rounds, each in its own 60 s."""
        for number in range(ROUNDS):
            for repeat in range(REPEATS):
                self.simulation.at(
                    number * 60.0 + repeat * self.case.pause_s,
                    functools.partial(self.crash, f'crash-{number}'),
                )
            self.simulation.at(number * 60.0 + 59.0, self.check_common_request)
        self.simulation.run(ROUNDS * 60.0)

    def draw_harmless(self) -> str:
        """Return the fingerprint of a harmless request."""
        if self.rng.random() < self.case.common_fraction:
            return 'common'
        return f'harmless-{next(self.fingerprint_numbers)}'

    def allowed(self, entry: int, fingerprint: str) -> bool:
        """Return whether an entry lets a request run."""
        table, now = self.suspect_tables[entry], self.simulation.now
        return not self.use_marks or not table.is_suspect(fingerprint, now)

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
        index = self.rng.choice(live)
        self.targets_hit[fingerprint] += 1
        # Outside crashes, common requests are answered, so each entry
        # completes one before this crash.
        self.complete_common()
        # Pairs of the index of an entry and the fingerprint of a request.
        requests = [(entry, fingerprint), *self.retried[index]]
        self.counts['harmless-hit-again'] += len(self.retried[index])
        self.retried[index] = []
        while len(requests) < self.case.slots:
            requests.append(
                (self.rng.randrange(ENTRIES), self.draw_harmless())
            )
        self.counts['harmless-in-crash'] += len(requests) - 1
        target, boot = self.targets[index], str(self.boot_numbers[index])
        for at, lost in requests:
            table = self.suspect_tables[at]
            table.connection_lost(target, boot, lost, TTL_S, now)
        for at in {at for at, _ in requests}:
            for mark in self.suspect_tables[at].connection_refused(
                target.instance_id, now
            ):
                self.notify(at, mark)
        self.boot_numbers[index] += 1
        self.down_until[index] = now + RESTART_S
        for at, lost in requests[1:]:
            self.simulation.at(
                now + 0.02, functools.partial(self.retry, at, lost)
            )

    def notify(self, sender: int, mark: suspects.CrashMark) -> None:
        """Send a mark to all peers."""
        for peer, table in enumerate(self.suspect_tables):
            if peer != sender:
                self.simulation.at(
                    self.simulation.now + NOTICE_DELAY_S,
                    functools.partial(self.merge, table, mark),
                )

    def merge(
        self, table: suspects.SuspectTable, mark: suspects.CrashMark
    ) -> None:
        """Deliver a mark to a peer after its transmission delay."""
        table.merge(mark, self.simulation.now)

    def retry(self, entry: int, fingerprint: str) -> None:
        """Retry a harmless request that a crash has cut off."""
        if not self.allowed(entry, fingerprint):
            self.counts['harmless-refused'] += 1
            return
        now = self.simulation.now
        live = [i for i in range(TARGETS) if self.down_until[i] <= now]
        if not live:
            self.counts['harmless-no-target'] += 1
            return
        self.counts['harmless-retried'] += 1
        index = self.rng.choice(live)
        item = (entry, fingerprint)
        self.retried[index].append(item)
        self.simulation.at(
            now + self.rng.expovariate(1 / SERVICE_S),
            functools.partial(self.answer, index, item),
        )

    def answer(self, index: int, item: tuple[int, str]) -> None:
        """Answer a retried harmless request, unless its target has crashed."""
        if item not in self.retried[index]:
            return
        self.retried[index].remove(item)
        if self.case.clear_marks:
            entry, fingerprint = item
            self.suspect_tables[entry].completed(
                fingerprint, self.simulation.now
            )

    def complete_common(self) -> None:
        """Answer the common request once at every entry."""
        if self.case.clear_marks and self.case.common_fraction:
            for table in self.suspect_tables:
                table.completed('common', self.simulation.now)

    def check_common_request(self) -> None:
        """Send one common request to each entry and count refusals."""
        if not self.case.common_fraction:
            return
        for entry in range(ENTRIES):
            self.counts['common-sent'] += 1
            self.counts['common-refused'] += not self.allowed(entry, 'common')


@dataclasses.dataclass
class Pool:
    """An entry's pool for one target whose connections all go silent.

    :param use_rules: whether the connection rules close silent
        connections; otherwise each one closes only after its own timeout.
    :param idempotent: whether the requests are idempotent; the rules let
        only these reuse an idle connection.
    """

    size: int
    interval_s: float
    timeout_s: float
    use_rules: bool
    idempotent: bool = True

    def run(self) -> tuple[int, int, float]:
        """Return requests lost, connections opened and time of last loss."""
        preset = profiles.PRESETS['stairlift']
        profile = profiles.Profile.from_model('stairlift', preset)
        simulation = queue_model.Simulation()
        rules = connections.ConnectionRules.from_profile(profile)
        if not self.use_rules:
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
            choice = rules.acquire(self.idempotent or not self.use_rules, now)
            if isinstance(choice, connections.Reuse):
                number = choice.connection_id
            else:
                number = next(numbers)
                rules.opened(number, now)
            if number < self.size:
                if self.use_rules:
                    rules.start_progress_timeout(number, now)
                simulation.at(now + self.timeout_s, lambda: time_out(number))
            else:
                simulation.at(
                    now + 0.02, lambda: rules.release(number, True, now + 0.02)
                )
            if now < 120.0:
                simulation.at(now + self.interval_s, request)

        def time_out(number: int) -> None:
            lost.append(simulation.now)
            if self.use_rules:
                rules.mark_silent(number, simulation.now)
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
    for case, use_marks in itertools.product(
        [
            Case(6, 0.0, 1.0),
            Case(2, 0.0, 1.0),
            Case(6, 0.0, 0.04),
            Case(6, 0.0, 0.01),
            Case(6, 0.0, 0.0),
            Case(6, 0.3, 1.0),
            Case(6, 0.3, 1.0, clear_marks=False),
        ],
        (False, True),
    ):
        model = Model(case, use_marks)
        model.run()
        print(
            f'slots={case.slots} common={case.common_fraction:.0%} '
            f'pause={case.pause_s} s clear_marks={case.clear_marks!s:5} '
            f'marks={use_marks!s:5} targets hit per request: mean '
            f'{sum(model.targets_hit.values()) / ROUNDS:.2f}, most '
            f'{max(model.targets_hit.values())}; '
            + ' '.join(f'{k}={v}' for k, v in sorted(model.counts.items()))
        )
    print('\nsilent pool of one target, one request each interval, 120 s')
    for size, interval, use_rules in itertools.product(
        (4, 14), (0.1, 1.0, 4.0), (False, True)
    ):
        lost, opened, last = Pool(size, interval, 5.0, use_rules).run()
        print(
            f'pool={size:2} interval={interval} s rules={use_rules!s:5} '
            f'lost={lost:2} last loss seen at {last:5.1f} s opened={opened}'
        )
    lost, opened, _ = Pool(14, 0.1, 5.0, True, idempotent=False).run()
    print(f'non-idempotent, rules=True: lost={lost} opened={opened}')


if __name__ == '__main__':
    main()
