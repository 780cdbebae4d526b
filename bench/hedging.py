"""Tail latency with and without hedged requests, and the extra sends.

Run ``python -m bench.hedging``; section 3.7 of ``docs/design.md`` has the
rules.
"""

import collections
import itertools
import random

from dragonflyslip_core import profiles
from dragonflyslip_core import retries
from dragonflyslip_testing import queue_model

SEED = 11
TARGETS = 20
CALLS = 40_000
LATENCY_WEIGHT = 0.1
SLOWDOWN = 10.0
# Fraction of all sends that takes SLOWDOWN times as long, at any target.
STALL_PROBABILITY = 0.02
FAULTS = ('none', 'slow-target', 'stalls')
# Mean service time and hedge delay in seconds. The kauri preset has no
# hedges, so its delay is the same multiple of the service time as for
# stairlift.
CASES = {'stairlift': (0.02, 0.15), 'kauri': (0.5, 3.75)}


class Model:
    """One entry that sends to the better of two random targets."""

    def __init__(
        self, name: str, load: float, fault: str, hedged: bool, choice: str
    ):
        self.profile = profiles.Profile.from_model(
            name, profiles.PRESETS[name]
        )
        self.service_s, hedge_delay_s = CASES[name]
        self.simulation = queue_model.Simulation()
        slow_targets = 1 if fault == 'slow-target' else 0
        self.targets = [
            queue_model.SlotTarget(
                self.simulation,
                self.profile.slots,
                SLOWDOWN if i < slow_targets else 1.0,
            )
            for i in range(TARGETS)
        ]
        self.choice = choice
        self.stall_probability = (
            STALL_PROBABILITY if fault == 'stalls' else 0.0
        )
        self.in_flight = [0] * TARGETS
        self.latency_s = [self.service_s] * TARGETS
        self.rate = load * TARGETS * self.profile.slots / self.service_s
        self.rng = random.Random(SEED)
        self.work_rng = random.Random(SEED + 1)
        self.hedges = retries.HedgePolicy.from_profile(self.profile)
        self.hedges.after_s = hedge_delay_s if hedged else 0.0
        self.calls_left = CALLS
        self.counts = collections.Counter()
        self.latencies = []

    def run(self) -> None:
        """Run until every call has ended."""
        self.arrive()
        # The second summand leaves time for the last calls to end.
        self.simulation.run(CALLS / self.rate + 100 * self.service_s * 20)

    def draw_work_s(self) -> float:
        """Draw the service time of one send."""
        work_s = self.work_rng.expovariate(1 / self.service_s)
        stalled = self.work_rng.random() < self.stall_probability
        return work_s * (SLOWDOWN if stalled else 1.0)

    def cost_of(self, index: int) -> float:
        """Return the cost by which targets are compared."""
        if self.choice == 'in-flight':
            return self.in_flight[index]
        return (self.in_flight[index] + 1) * self.latency_s[index]

    def record_latency(self, index: int, latency_s: float) -> None:
        """Update the mean latency; a cancelled send took at least this."""
        error = latency_s - self.latency_s[index]
        self.latency_s[index] += LATENCY_WEIGHT * error

    def arrive(self) -> None:
        """Let one call arrive and schedule the next."""
        now = self.simulation.now
        self.hedges.budget.record_call()
        sends = []
        first = min(self.rng.sample(range(TARGETS), 2), key=self.cost_of)
        self.send(first, now, sends)
        # An idempotent call, sent once, with its body still buffered, that is
        # not marked as a retry.
        call = retries.CallProgress(
            True, 1, False, False, now + self.profile.deadline_ms / 1000
        )
        at = self.hedges.hedge_at(call, now)
        if at is not None:
            self.simulation.at(at, lambda: self.hedge(call, now, sends))
        self.calls_left -= 1
        if self.calls_left:
            self.simulation.at(
                now + self.rng.expovariate(self.rate), self.arrive
            )

    def hedge(self, call: retries.CallProgress, arrived: float, sends) -> None:
        """Send a second time if the policy allows it."""
        if any(job.ended for _, job in sends):
            return
        index = min(
            (i for i in range(TARGETS) if i != sends[0][0]),
            key=lambda i: (self.cost_of(i), i),
        )
        free = self.profile.slots - self.in_flight[index]
        decision = self.hedges.next_hedge(
            call, self.simulation.now, free, waiting=0
        )
        if isinstance(decision, retries.NoRepeat):
            self.counts[f'denied-{decision.reason.value}'] += 1
            return
        self.counts['hedges'] += 1
        self.send(index, arrived, sends)

    def send(self, index: int, arrived: float, sends) -> None:
        """Send to a target; the first response cancels the other send."""
        self.in_flight[index] += 1
        began = self.simulation.now

        def done() -> None:
            self.in_flight[index] -= 1
            self.record_latency(index, self.simulation.now - began)
            self.latencies.append(self.simulation.now - arrived)
            for other, job in sends:
                if job is not sent:
                    self.targets[other].cancel(job)
                    self.in_flight[other] -= 1
                    self.record_latency(other, self.simulation.now - arrived)
                    self.counts['cancelled'] += 1
            self.counts['hedge-won'] += sends[0][1] is not sent

        sent = queue_model.Job(self.draw_work_s(), done)
        sends.append((index, sent))
        self.targets[index].submit(sent)


def main() -> None:
    """Print the table."""
    print(
        f'seed {SEED}, {TARGETS} targets, {CALLS} calls, slow sends take '
        f'10 times as long, stalls {STALL_PROBABILITY:.0%} of sends'
    )
    for name, choice, load, fault, hedged in itertools.product(
        CASES, ('in-flight', 'latency'), (0.5, 0.9), FAULTS, (False, True)
    ):
        model = Model(name, load, fault, hedged, choice)
        model.run()
        values = ' '.join(
            f'p{p}={queue_model.percentile(model.latencies, p) * 1000:.0f}'
            for p in (50, 99, 99.9)
        )
        cost = model.counts['hedges'] / CALLS
        print(
            f'{name:9} choice={choice:9} load={load:.0%} '
            f'fault={fault:11} hedges={hedged!s:5} '
            f'{values} ms answered={len(model.latencies)} sends=+{cost:.2%} '
            + ' '.join(f'{k}={v}' for k, v in sorted(model.counts.items()))
        )


if __name__ == '__main__':
    main()
