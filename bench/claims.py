"""Claims on the log, compared with ownership of keys by leases.

Run ``python -m bench.claims``. Everything runs on a simulated clock with
fixed seeds; no socket is opened and no clock is read.
"""

import argparse
import collections
import heapq
import itertools
import random

from dragonflyslip_core import budgets
from dragonflyslip_core import claim_batcher
from dragonflyslip_core import claim_batches
from dragonflyslip_core import claims

ENTRIES = 18
APPEND_BUDGET_PER_S = 300.0
LOG_APPENDS_PER_S = 400.0
LOG_LATENCY_S = 0.002
READ_LATENCY_S = 0.001
PEER_ROUND_TRIP_S = 0.003
EXECUTION_S = 0.020
CALLER_TIMEOUT_S = 2.0
ATTEMPTS = 4
LEASE_S = 3.0
RENEW_S = 1.0
# Speed at which a new entry reads the claims in the log.
READ_RECORDS_PER_S = 50_000.0
ENTRY_START_S = 0.1
WALL_CLOCK_START_S = 1_700_000_000.0


class Entry:
    """One entry of the model.

    :ivar paused_until: time before which none of its steps run.
    :ivar pause_before_send: whether to pause it before its next send.
    """

    def __init__(self, name, ready_at, batcher):
        self.name = name
        self.ready_at = ready_at
        self.alive = True
        self.paused_until = 0.0
        self.pause_before_send = False
        self.batcher = batcher
        self.calls = {}
        self.seen_keys = set()
        self.lease_until = ready_at + LEASE_S


class Model:
    """Event queue, log, callers, and how often each key was executed.

    A claim is a record that an entry appends to the log before it sends a
    request with an idempotency key, so that no other entry sends it too.

    :param mode: ``at once`` appends each claim immediately and by itself,
        ``grouped`` appends claims in batches as the entries do, and in
        ``leases`` each key has an owner that holds a lease and appends no
        claims.
    :param rate: calls per second.
    :param faults: ``pauses``, ``replacements`` of entries, or None.
    """

    def __init__(self, mode, rate, seconds, seed, faults):
        self.mode, self.rate, self.seconds = mode, rate, seconds
        self.rng = random.Random(seed)
        self.now, self.event_numbers = 0.0, itertools.count()
        self.events = []
        self.table = claims.ClaimTable()
        self.log_free_at = 0.0
        self.appends = self.bytes = self.claims = 0
        self.latencies = []
        self.executions = collections.Counter()
        self.arrived_at, self.answered = {}, set()
        self.refused = 0
        self.names = itertools.count(1)
        self.entries = [self.make_entry(0.0) for _ in range(ENTRIES)]
        self.faults = faults

    def make_entry(self, ready_at):
        if self.mode == 'at once':
            bucket = budgets.TokenBucket(1e9, 1e9, 1e9, 0.0)
        else:
            bucket = budgets.TokenBucket(APPEND_BUDGET_PER_S / ENTRIES, 2.0)
            bucket.refill(self.now)
        name = f'entry-{next(self.names)}/0123456789abcdef'
        appends = 10**9 if self.mode == 'at once' else 8
        batcher = claim_batcher.ClaimBatcher(name, bucket, max_appends=appends)
        return Entry(name, ready_at, batcher)

    def schedule(self, when, step, *arguments):
        heapq.heappush(
            self.events, (when, next(self.event_numbers), step, arguments)
        )

    def schedule_at_entry(self, entry, when, step, *arguments):
        """Run a step at an entry, after its pause, unless it was replaced."""
        self.schedule(when, self.run_at_entry, entry, step, arguments)

    def run_at_entry(self, entry, step, arguments):
        if not entry.alive:
            return
        if self.now < entry.paused_until:
            self.schedule_at_entry(entry, entry.paused_until, step, *arguments)
        else:
            step(entry, *arguments)

    def run(self):
        gap = self.rng.expovariate(self.rate)
        self.schedule(gap, self.arrive, 0)
        if self.mode == 'leases':
            for entry in self.entries:
                self.schedule_at_entry(entry, self.rng.random(), self.renew)
        if self.faults == 'pauses':
            self.schedule(3.0, self.pause)
        elif self.faults == 'replacements':
            self.schedule(5.0, self.replace)
        end = self.seconds + 30.0
        while self.events and self.events[0][0] < end:
            self.now, _, step, arguments = heapq.heappop(self.events)
            step(*arguments)

    def arrive(self, number):
        stamp = int((WALL_CLOCK_START_S + self.now) * 1000).to_bytes(6)
        key = claims.Key(
            '', stamp + number.to_bytes(10), WALL_CLOCK_START_S + self.now
        )
        self.arrived_at[key] = self.now
        self.claims += 1
        self.attempt(key, 1)
        later = self.now + self.rng.expovariate(self.rate)
        if later < self.seconds:
            self.schedule(later, self.arrive, number + 1)

    def attempt(self, key, number):
        if key in self.answered or number > ATTEMPTS:
            return
        entry = self.rng.choice(self.entries)
        if self.mode == 'leases':
            # The entry forwards the call to the key's owner.
            entry = self.entries[key.key_hash[-1] % ENTRIES]
            delay = PEER_ROUND_TRIP_S
        else:
            delay = 0.0
        if self.now < entry.ready_at:
            self.refused += 1
        else:
            self.schedule_at_entry(
                entry, self.now + delay, self.receive, key, number
            )
        self.schedule(
            self.now + CALLER_TIMEOUT_S, self.attempt, key, number + 1
        )

    def receive(self, entry, key, number):
        if self.mode == 'leases':
            if key in entry.seen_keys:
                return
            if self.now >= entry.lease_until:
                self.refused += 1
                return
            entry.seen_keys.add(key)
            self.send_checked(entry, key, number)
            return
        found = self.table.find('upload', key)
        if found is not None and found.holder is not None:
            return
        call = entry.batcher.submit('upload', key, b'f' * 8, number == 1)
        entry.calls[call.record.claim_id] = (call, number)
        self.append(entry)

    def append(self, entry):
        batch = entry.batcher.next_batch(self.now)
        if batch is None:
            delay = entry.batcher.delay(self.now)
            if delay < float('inf'):
                wait = max(delay, 1e-4)
                self.schedule_at_entry(entry, self.now + wait, self.append)
            return
        self.bytes += len(batch.data)
        ends_at = self.reserve_append()
        self.schedule(ends_at, self.appended, entry, batch)

    def reserve_append(self):
        """Occupy the log for one append; return when the append ends."""
        # Appends after the measured time are not counted.
        self.appends += self.now < self.seconds
        self.log_free_at = max(self.log_free_at, self.now)
        self.log_free_at += 1 / LOG_APPENDS_PER_S
        return self.log_free_at + self.rng.expovariate(1 / LOG_LATENCY_S)

    def appended(self, entry, batch):
        offset = self.table.through + 1
        at_ms = int((WALL_CLOCK_START_S + self.now) * 1000)
        events = claims.apply_claim_record(
            self.table, offset, at_ms, batch.data
        )
        when = self.now + READ_LATENCY_S
        self.schedule_at_entry(
            entry, when, self.read_back, batch.batch_id, offset, events
        )

    def read_back(self, entry, batch_id, offset, events):
        entry.batcher.batch_appended(batch_id, offset)
        entry.batcher.observe(self.table, events)
        for event in events:
            call, number = entry.calls.pop(event.record.claim_id)
            if call.begin_send():
                self.send_checked(entry, call.key, number)
        self.append(entry)

    def send_checked(self, entry, key, number):
        """Send a request for which the entry has just checked its claim."""
        if entry.pause_before_send:
            # Between check and send a pause does most harm: meanwhile
            # another entry can take the key over.
            entry.pause_before_send = False
            entry.paused_until = self.now + self.rng.uniform(0.5, 8.0)
        self.schedule_at_entry(
            entry, max(self.now, entry.paused_until), self.send, key
        )

    def send(self, entry, key):
        self.executions[key] += 1
        if self.executions[key] == 1:
            self.latencies.append(self.now - self.arrived_at[key])
        self.schedule_at_entry(entry, self.now + EXECUTION_S, self.answer, key)

    def answer(self, entry, key):
        self.answered.add(key)

    def renew(self, entry):
        self.reserve_append()
        # Another entry may have taken over the expired lease meanwhile.
        if entry in self.entries:
            entry.lease_until = self.now + LEASE_S
            self.schedule_at_entry(entry, self.now + RENEW_S, self.renew)

    def pause(self):
        entry = self.rng.choice(self.entries)
        entry.pause_before_send = True
        if self.mode == 'leases':
            self.schedule(self.now + LEASE_S + 1.0, self.take_over, entry)
        if self.now + 3.0 < self.seconds:
            self.schedule(self.now + 3.0, self.pause)

    def take_over(self, entry):
        """Give an expired lease to a new entry; the old one keeps running."""
        if entry in self.entries and self.now > entry.lease_until:
            owner = self.make_entry(self.now)
            self.entries[self.entries.index(entry)] = owner
            self.schedule_at_entry(owner, self.now, self.renew)

    def replace(self):
        index = self.rng.randrange(ENTRIES)
        self.entries[index].alive = False
        ready_at = self.now + ENTRY_START_S
        if self.mode == 'leases':
            # No other entry may own the keys until the lease has expired.
            ready_at = max(ready_at, self.entries[index].lease_until)
        else:
            ready_at += self.table.through / READ_RECORDS_PER_S
        entry = self.make_entry(ready_at)
        self.entries[index] = entry
        if self.mode == 'leases':
            self.schedule_at_entry(entry, ready_at, self.renew)
        if self.now + 5.0 < self.seconds:
            self.schedule(self.now + 5.0, self.replace)


def percentile(values, percent):
    """Return a percentile of ``values`` in ms, by nearest rank."""
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index] * 1000


def print_table(titles, rows):
    """Print titles and rows as a Markdown table."""
    print('| ' + ' | '.join(titles) + ' |')
    print('|' + '---|' * len(titles))
    for row in rows:
        print('| ' + ' | '.join(str(cell) for cell in row) + ' |')
    print()


def fault_free_row(mode, rate, seconds, seed):
    """Return one row of the table without faults.

    The latency added to a call is the time from the arrival of its key to the
    first send of the request.
    """
    model = Model(mode, rate, seconds, seed, faults=None)
    model.run()
    done = len(model.latencies)
    return (
        mode,
        rate,
        f'{percentile(model.latencies, 50):.1f}',
        f'{percentile(model.latencies, 99):.1f}',
        f'{model.appends / seconds:.0f}',
        f'{model.appends / model.claims:.2f}',
        f'{model.bytes / model.claims:.0f}',
        f'{model.claims - done}',
    )


def fault_row(mode, rate, seconds, seeds, faults):
    """Return one row of the table with pauses or replacements.

    The attempts refused per fault are also given as the time in which as many
    calls arrive. A submission is lost if its request was never executed.
    """
    totals = collections.Counter()
    for seed in seeds:
        model = Model(mode, rate, seconds, seed, faults)
        model.run()
        totals['claims'] += model.claims
        totals['refused'] += model.refused
        totals['duplicates'] += sum(n > 1 for n in model.executions.values())
        totals['lost'] += model.claims - len(model.executions)
    # ``Model`` causes a fault every 3 or 5 s, but none at the end itself.
    gap = 3.0 if faults == 'pauses' else 5.0
    count = len(seeds) * int((seconds - 0.001) / gap)
    return (
        mode,
        faults,
        totals['claims'],
        count,
        totals['refused'],
        f'{totals["refused"] / rate / count * 1000:.1f}',
        totals['duplicates'],
        totals['lost'],
    )


def main():
    """Print both tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=int, default=20)
    options = parser.parse_args()
    modes = ('at once', 'grouped', 'leases')
    print(f'seed {options.seed}, {options.seconds} s, {ENTRIES} entries')
    print(f'batch limit {claim_batches.MAX_BATCH_BYTES} bytes\n')
    print_table(
        (
            'mode',
            'claims/s',
            'added p50 ms',
            'added p99 ms',
            'appends/s',
            'appends/claim',
            'bytes/claim',
            'not executed',
        ),
        [
            fault_free_row(mode, rate, options.seconds, options.seed)
            for mode in modes
            for rate in (50, 150, 300, 450, 1_000, 3_000)
            # Beyond the log's capacity the queue only grows.
            if mode != 'at once' or rate <= 450
        ],
    )
    seeds = range(options.seed, options.seed + 3)
    print_table(
        (
            'mode',
            'fault',
            'claims',
            'faults',
            'attempts refused',
            'ms of arrivals refused per fault',
            'duplicate executions',
            'lost submissions',
        ),
        [
            fault_row(mode, 200, 60, seeds, faults)
            for faults in ('pauses', 'replacements')
            for mode in modes
        ],
    )


if __name__ == '__main__':
    main()
