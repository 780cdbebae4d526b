"""Copies of a log that comes back from older copies of itself.

Guards against copies that go back, or that lack a record of their era, however
pages are delayed and wherever they come from, and against targets that an
older registration brings back. Each copy is compared with the log of its era.
"""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from dragonflyslip_core import directory
from dragonflyslip_core import feeds

COPIES = 3
TARGETS = strategies.sampled_from('abc')
NUMBERS = strategies.integers(0, 100)
# Whether a page arrives only after other steps.
LATE = strategies.sampled_from([False, False, True])


def _registration(target_id: str, sequence: int) -> directory.Registration:
    return directory.Registration(
        target_id, 'casebook', '127.0.0.1', 80, 'a', 1, False, 0.0, 1, sequence
    )


class FeedMachine(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        # By era, the values that were appended to the log.
        self.logs: list[list[tuple[str, bytes | None]]] = [[]]
        self.first = 0
        self.sequence = 0
        self.now = 0.0
        self.copies = [feeds.FeedCopy() for _ in range(COPIES)]
        self.directories = [directory.Directory() for _ in range(COPIES)]
        self.newest_known = [{} for _ in range(COPIES)]
        self.ends = [feeds.START] * COPIES
        # Responses that have not arrived: the reader and the page.
        self.pages: list[tuple[int, feeds.FeedPage]] = []

    @stateful.rule(target_id=TARGETS, removed=strategies.booleans())
    def append(self, target_id, removed):
        self.sequence += 1
        value = None if removed else b'%d' % self.sequence
        self.logs[-1].append((target_id, value))

    @stateful.rule(
        lost=strategies.integers(0, 6), back=strategies.integers(1, 2)
    )
    def change_era(self, lost, back):
        # The copy may be older than the one before.
        log = self.logs[-min(back, len(self.logs))]
        self.logs.append(log[: max(0, len(log) - lost)])
        self.first = min(self.first, len(self.logs[-1]))

    @stateful.rule()
    def compact(self):
        self.first = len(self.logs[-1])

    @stateful.rule(
        reader=NUMBERS, lag=strategies.sampled_from([0, 0, 0, 1]), late=LATE
    )
    def read(self, reader, lag, late):
        reader %= COPIES
        era = max(0, len(self.logs) - 1 - lag)
        log = self.logs[era]
        start = self.copies[reader].through
        continues = (
            start is not None
            and start.era == era
            and self.first <= start.offset <= len(log)
        )
        first = start.offset if continues else 0
        until = min(len(log), first + 3) if continues else len(log)
        newest = {
            key: feeds.FeedRecord(key, value, feeds.Position(era, offset))
            for offset, (key, value) in enumerate(log[:until])
            if offset >= first
        }
        page = feeds.FeedPage(
            tuple(r for r in newest.values() if continues or r.value),
            feeds.Position(era, first),
            feeds.Position(era, until),
            not continues,
        )
        self._send(reader, page, late)

    @stateful.rule(follower=NUMBERS, provider=NUMBERS, late=LATE)
    def pull(self, follower, provider, late):
        follower %= COPIES
        start = self.copies[follower].through
        page = self.copies[provider % COPIES].changes_since(start)
        if page is not None:
            self._send(follower, page, late)

    @stateful.precondition(lambda self: self.pages)
    @stateful.rule(number=NUMBERS, after_s=strategies.sampled_from([0, 3]))
    def deliver(self, number, after_s):
        self.now += after_s
        self._apply(*self.pages.pop(number % len(self.pages)))

    def _send(self, reader, page, late):
        if late:
            self.pages.append((reader, page))
        else:
            self._apply(reader, page)

    def _apply(self, reader, page):
        changes = self.copies[reader].apply(page)
        if changes is None:
            return
        known = self.directories[reader]
        if changes.complete:
            listed = [
                _registration(record.key, int(record.value))
                for record in changes.records
                if record.value is not None
            ]
            for target_id in known.replace(listed, self.now, changes.era):
                self._note_removal(reader, target_id)
        for record in () if changes.complete else changes.records:
            if record.value is not None:
                number = int(record.value)
                known.register(_registration(record.key, number), self.now)
            elif known.remove(record.key, self.now):
                self._note_removal(reader, record.key)
        known.expire(self.now)

    def _note_removal(self, reader, target_id):
        if target_id not in self.directories[reader].targets:
            # Only a newer registration may bring it back.
            self.newest_known[reader][target_id] += 1

    @stateful.invariant()
    def no_record_of_its_era_is_missing(self):
        for copy in self.copies:
            if copy.through is not None:
                log = self.logs[copy.through.era][: copy.through.offset]
                live = {
                    key: value for key, value in dict(log).items() if value
                }
                records = copy.changes_since(None).records
                assert {item.key: item.value for item in records} == live

    @stateful.invariant()
    def nothing_goes_back(self):
        for number, copy in enumerate(self.copies):
            end = copy.through or feeds.START
            assert end >= self.ends[number]
            self.ends[number] = end
            newest = self.newest_known[number]
            for target in self.directories[number].targets.values():
                sequence = target.registration.sequence
                assert sequence >= newest.get(target.target_id, 0)
                newest[target.target_id] = sequence


TestFeedMachine = FeedMachine.TestCase
TestFeedMachine.settings = hypothesis.settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)
