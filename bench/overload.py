"""Goodput under overload, and growth of retries through 8 layers.

Run ``python -m bench.overload``; section 3.6 of ``docs/design.md`` has the
bounds.
"""

import collections
import dataclasses
import itertools
import random

from dragonflyslip_core import limits
from dragonflyslip_core import models
from dragonflyslip_core import profiles
from dragonflyslip_core import retries
from dragonflyslip_testing import queue_model

SEED = 7
ENTRIES = 3
TARGETS = 4
LAYERS = 8


@dataclasses.dataclass(frozen=True)
class Case:
    """A profile with its mean service time and the measured period."""

    profile: str
    service_s: float
    warmup_s: float
    end_s: float


CASES = (Case('stairlift', 0.02, 10.0, 40.0), Case('kauri', 0.5, 100.0, 300.0))


@dataclasses.dataclass
class Call:
    """A call of priority 5 or 9; a fifth of all calls have 9."""

    number: int
    arrived: float
    deadline: float
    priority: int
    work_s: float
    attempts: int = 0
    finished: bool = False


class Model:
    """Entries and targets of one service, with Poisson arrivals.

    :param controls: whether entries use limits, an admission queue and a
        retry policy. Otherwise they send each call at once, and a second time
        if there is no response when half of the time to its deadline is over.
    """

    def __init__(self, case: Case, load: float, controls: bool):
        self.case = case
        self.controls = controls
        preset = profiles.PRESETS[case.profile]
        self.profile = profiles.Profile.from_model(case.profile, preset)
        self.rng = random.Random(SEED)
        self.simulation = queue_model.Simulation()
        self.targets = [
            queue_model.SlotTarget(self.simulation, self.profile.slots)
            for _ in range(TARGETS)
        ]
        capacity = TARGETS * self.profile.slots / case.service_s
        self.rate = load * capacity
        self.entries = [Entry(self) for _ in range(ENTRIES)]
        self.numbers = itertools.count()
        self.counts = collections.Counter()
        self.latencies = []

    def run(self) -> None:
        """Run the model to its end."""
        self.arrive()
        self.simulation.run(self.case.end_s)

    def arrive(self) -> None:
        """Let one call arrive and schedule the next."""
        now, rng = self.simulation.now, self.rng
        call = Call(
            next(self.numbers),
            now,
            now + self.profile.deadline_ms / 1000,
            9 if rng.random() < 0.2 else 5,
            rng.expovariate(1 / self.case.service_s),
        )
        if now >= self.case.warmup_s:
            self.counts['offered'] += 1
            self.counts[f'offered-{call.priority}'] += 1
        rng.choice(self.entries).receive(call)
        self.simulation.at(now + rng.expovariate(self.rate), self.arrive)

    def record_answer(self, call: Call) -> None:
        """Count a complete response that arrived by its deadline."""
        now = self.simulation.now
        if now < self.case.warmup_s or now > call.deadline:
            return
        self.counts['good'] += 1
        self.counts[f'good-{call.priority}'] += 1
        self.latencies.append(now - call.arrived)


class Entry:
    """One entry with its limits, queue and retry policy.

    Without controls it sends each call at once.
    """

    def __init__(self, model: Model):
        self.model = model
        profile = model.profile
        self.in_flight = [0] * TARGETS
        self.limits = [
            limits.AdaptiveLimit(profile.slots) for _ in range(TARGETS)
        ]
        self.queue = limits.AdmissionQueue(profile.queue_limit)
        self.retry = retries.RetryPolicy.from_profile(profile)
        self.calls = {}

    def receive(self, call: Call) -> None:
        """Queue a call, or send it at once if there are no controls."""
        if not self.model.controls:
            self.send(call)
            return
        self.calls[call.number] = call
        self.retry.budget.record_call()
        waiting = limits.WaitingCall(call.number, call.priority, call.deadline)
        now = self.model.simulation.now
        self.apply(self.queue.offer(waiting, now, *self.running_and_free()))

    def running_and_free(self) -> tuple[int, int]:
        """Return how many requests run and how many more may start."""
        pairs = zip(self.limits, self.in_flight, strict=True)
        free = sum(max(0, li.allowed - used) for li, used in pairs)
        return sum(self.in_flight), free

    def apply(self, decision: limits.AdmissionDecision) -> None:
        """Drop and send the calls as the queue decided."""
        for shed in decision.shed:
            self.model.counts[shed.reason.value] += 1
            del self.calls[shed.call.call_id]
        for waiting in decision.start:
            self.send(self.calls.pop(waiting.call_id))

    def send(self, call: Call) -> None:
        """Send a call to the target with the fewest requests of this entry."""
        model = self.model
        candidates = [
            i
            for i in range(TARGETS)
            if not model.controls or self.limits[i].has_room(self.in_flight[i])
        ]
        index = min(candidates, key=lambda i: (self.in_flight[i], i))
        self.in_flight[index] += 1
        call.attempts += 1
        model.counts['sent'] += 1
        sent = model.simulation.now
        job = queue_model.Job(
            call.work_s, lambda: self.done(call, index, sent)
        )
        model.targets[index].submit(job)
        expires_at = call.deadline
        if not model.controls and call.attempts == 1:
            expires_at = (call.arrived + call.deadline) / 2
        model.simulation.at(expires_at, lambda: self.expire(call, index, job))

    def done(self, call: Call, index: int, sent: float) -> None:
        """Handle a response; only the first one of a call counts."""
        model = self.model
        now = model.simulation.now
        if not call.finished:
            call.finished = True
            model.record_answer(call)
        if model.controls:
            in_flight = self.in_flight[index]
            self.limits[index].record_response(now - sent, in_flight, now)
            self.queue.record_service_time(now - sent)
        self.in_flight[index] -= 1
        if model.controls:
            self.apply(self.queue.poll(now, *self.running_and_free()))

    def expire(self, call: Call, index: int, job: queue_model.Job) -> None:
        """Give up on an attempt; without controls, retry once."""
        if call.finished:
            return
        model = self.model
        now = model.simulation.now
        if not model.controls:
            if call.attempts == 1:
                self.send(call)
            return
        call.finished = True
        model.targets[index].cancel(job)
        self.in_flight[index] -= 1
        self.limits[index].record_overload(now)
        model.counts['expired-running'] += 1
        self.apply(self.queue.poll(now, *self.running_and_free()))


class Layer:
    """A layer of services; each call to it makes one call to the next.

    :param mode: which limits on retries all layers apply: ``none``; ``request
        mark``, by which a layer does not retry a request that is marked as a
        retry; ``budget and request mark``, which adds a retry budget; ``all``,
        which adds the mark of responses that must not be retried.
    """

    def __init__(self, mode: str):
        profile = profiles.Profile.from_model('p', models.ProfileModel())
        self.mode = mode
        self.policy = retries.RetryPolicy.from_profile(profile)
        if mode in ('none', 'request mark'):
            self.policy.budget = retries.RetryBudget(100.0, 1e9)

    def call(
        self, lower_layers, succeeds, marked, rng
    ) -> tuple[int, str | None, bool]:
        """Run a call, with retries, through this layer and those below.

        :param succeeds: decides whether a request at the last layer succeeds.
        :param marked: whether the request is marked as a retry.
        :return: requests at the last layer, the mark of the response (None
            if it has none) and whether the call succeeded.
        """
        self.policy.budget.record_call()
        attempts, sends = 0, 0
        while True:
            attempts += 1
            mark = marked or (attempts > 1 and self.mode != 'none')
            if lower_layers:
                result = lower_layers[0].call(
                    lower_layers[1:], succeeds, mark, rng
                )
            else:
                result = (1, None, succeeds(rng))
            sends += result[0]
            if result[2]:
                return sends, None, True
            progress = retries.CallProgress(
                True, attempts, False, marked and self.mode != 'none', 1e9
            )
            received_mark = result[1] if self.mode == 'all' else None
            decision = self.policy.next_attempt(
                progress, 0.0, rng, response_mark=received_mark
            )
            if isinstance(decision, retries.NoRepeat):
                response = '1' if decision.marks_response else None
                return sends, response, False


def amplification(mode: str, failing: float) -> tuple[float, float]:
    """Return requests at the last layer per call, and the success rate.

    :param failing: the failure rate of the last layer.
    """
    rng = random.Random(SEED)
    layers = [Layer(mode) for _ in range(LAYERS)]
    for _ in range(1000):
        layers[0].call(layers[1:], lambda _: True, False, rng)
    sends = good = 0
    for _ in range(2000):
        result = layers[0].call(
            layers[1:], lambda r: r.random() >= failing, False, rng
        )
        sends += result[0]
        good += result[2]
    return sends / 2000, good / 2000


def main() -> None:
    """Print both tables."""
    print(f'seed {SEED}, {ENTRIES} entries, {TARGETS} targets')
    print('profile   controls load offered  good/s   p99 ms  prio9  sent')
    for case, controls in itertools.product(CASES, (False, True)):
        rates = {}
        for load in (1.0, 2.0):
            model = Model(case, load, controls)
            model.run()
            counts = model.counts
            span = case.end_s - case.warmup_s
            rates[load] = counts['good'] / span
            p99 = 0.0
            if model.latencies:
                p99 = queue_model.percentile(model.latencies, 99) * 1000
            print(
                f'{case.profile:9} {controls!s:8} {load:.0f}x '
                f'{counts["offered"]:8} {rates[load]:8.2f} {p99:8.0f} '
                f'{counts["good-9"] / counts["offered-9"]:6.1%} '
                f'{counts["sent"]:6} queue-full={counts["queue-full"]} '
                f'deadline={counts["deadline"]} '
                f'expired-running={counts["expired-running"]}'
            )
        ratio = rates[2.0] / rates[1.0]
        print(f'{case.profile:9} goodput 2x/1x {ratio:.1%} (bound 90 %)')
    print(
        f'\n{LAYERS} layers, requests at the last layer per call '
        '(success rate)'
    )
    for mode in ('none', 'request mark', 'budget and request mark', 'all'):
        row = [amplification(mode, failing) for failing in (1.0, 0.5, 0.05)]
        text = '  '.join(f'{sends:7.3f} ({good:.1%})' for sends, good in row)
        print(f'{mode:24} failing 100 %, 50 %, 5 %: {text}')


if __name__ == '__main__':
    main()
