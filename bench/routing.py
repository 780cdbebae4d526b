"""Routing policies compared with an oracle that sees every queue.

Run ``python -m bench.routing``. Latencies are from arrival at an entry to the
answer there, in ms. All runs with the same seed get the same requests.
"""

import collections
import concurrent.futures
import dataclasses
import functools
import random
import timeit
import typing

from dragonflyslip_core import default_policy
from dragonflyslip_core import health
from dragonflyslip_core import routing
from dragonflyslip_core import targets
from dragonflyslip_testing import simulator

WORKERS = 2
SEED = 1
# For the bound on the p99 latency, see ``print_bound``.
BOUND_SEEDS = (1, 2, 3, 4)
LOADS = (0.5, 0.75, 0.9, 1.05)
BOUND_LOAD = 0.9

POLICIES: dict[str, typing.Callable] = {
    'oracle': simulator.Oracle,
    'round robin': simulator.policy_maker(routing.RoundRobin),
    'random': simulator.policy_maker(routing.RandomChoice),
    'least in flight': simulator.policy_maker(routing.LeastInFlight),
    'two choices': simulator.policy_maker(routing.TwoChoices),
    'two choices, peak EWMA': simulator.policy_maker(routing.PeakEwma),
    'probing': simulator.policy_maker(routing.Probing),
    # Load reports on responses are added to the pool of probe results.
    'probing + reports': simulator.policy_maker(
        routing.Probing, pool_reports=True
    ),
    'default': simulator.policy_maker(default_policy.DefaultPolicy),
}

# In every condition one target is 10 times slower than the others.
CONDITIONS: dict[str, dict] = {
    'slow target': {},
    'sudden slowdowns': {'slowdown_every_s': 2.0},
    'fast-failing target': {'fast_failing': True},
    'misleading health': {'misleading': True},
}
HARDER_CONDITIONS: dict[str, dict] = {
    'a slowdown every 1 s': {'slowdown_every_s': 1.0},
    'complete stops of 50 ms': {
        'slowdown_every_s': 2.0,
        'slowdown_factor': 1e6,
    },
    '200 targets': {'targets': 200, 'requests': 50_000, 'warmup': 20_000},
    '10 targets of 2 slots, load 85 %': {
        'targets': 10,
        'slots': 2,
        'load': 0.85,
    },
    'fast failures, no health rule': {
        'fast_failing': True,
        'health_rule': False,
    },
}

VARIANT_CONDITIONS = ('slow target', 'sudden slowdowns', 'misleading health')

# Settings that switch off or change one part of the default policy; they are
# parameters of ``DefaultPolicy``.
VARIANTS: dict[str, dict] = {
    'unchanged': {},
    'reports do not age': {'decay_ratio': 1e9},
    'reports age 4 times slower': {'decay_ratio': 1.0},
    'penalty 0.6 for unknown targets': {'unknown_penalty': 0.6},
    'slow above a latency ratio of 1.5': {'slow_ratio': 1.5},
    'no detection of slow targets': {'slow_ratio': 1e9},
    'no detection of silent targets': {'quiet_ratio': 1e9},
    'scan of 2 candidates': {'scan_limit': 2},
    'scan of 8 candidates': {'scan_limit': 8},
}


def _scenario(load, **settings):
    size = {'requests': 16_000, 'warmup': 4_000}
    if load != BOUND_LOAD:
        size = {'requests': 6_500, 'warmup': 1_500}
    return simulator.Scenario(**{**size, 'load': load, **settings})


@dataclasses.dataclass(frozen=True)
class Job:
    """One run; ``variant`` names settings of the default policy."""

    policy: str
    scenario: simulator.Scenario
    seed: int = SEED
    variant: str = ''


def run_job(job: Job) -> simulator.Summary:
    """Simulate a job; called in a worker process."""
    make_policy = POLICIES[job.policy]
    if job.variant:
        make_policy = simulator.policy_maker(
            default_policy.DefaultPolicy, **VARIANTS[job.variant]
        )
    return simulator.run(job.scenario, make_policy, job.seed)


class Runner:
    """Runs jobs in worker processes and counts routing decisions."""

    def __init__(self, executor):
        self.executor = executor
        self.decisions = 0

    def run(self, jobs: list[Job]) -> dict[Job, simulator.Summary]:
        """Run the jobs and return the summary of each."""
        summaries = dict(zip(jobs, self.executor.map(run_job, jobs)))
        self.decisions += sum(s.decisions for s in summaries.values())
        return summaries


def _print_table(title, headings, rows):
    print(f'\n### {title}\n')
    print('| ' + ' | '.join(headings) + ' |')
    print('|---' + '|---:' * (len(headings) - 1) + '|')
    for row in rows:
        print('| ' + ' | '.join(row) + ' |')
    print(flush=True)


def _format_number(value):
    return f'{value:.0f}' if value >= 1000 else f'{value:.1f}'


def print_conditions(runner):
    """Print one table per condition: all policies at all loads."""
    headings = ['policy']
    for load in LOADS:
        headings += [f'{100 * load:.0f} %: p50', 'p99', 'p99.9', 'depth']
    headings.append('failed at 90 %')
    for name, settings in CONDITIONS.items():
        jobs = {
            (policy, load): Job(policy, _scenario(load, **settings))
            for policy in POLICIES
            for load in LOADS
        }
        summaries = runner.run(list(jobs.values()))
        rows = []
        for policy in POLICIES:
            row = [policy]
            for load in LOADS:
                summary = summaries[jobs[policy, load]]
                row += [
                    _format_number(summary.latency_ms(p))
                    for p in (50, 99, 99.9)
                ]
                row.append(str(summary.depth(99)))
            bound = summaries[jobs[policy, BOUND_LOAD]]
            row.append(f'{bound.failed_percent:.2f} %')
            rows.append(row)
        _print_table(f'{name} (seed {SEED})', headings, rows)


def print_bound(runner):
    """Compare the p99 of the default policy with its bound.

    The bound is the highest allowed ratio to the p99 of the oracle.
    """
    rows = []
    for name, limit in (('slow target', 1.1), ('sudden slowdowns', 1.25)):
        scenario = _scenario(
            BOUND_LOAD,
            **{'requests': 40_000, 'warmup': 8_000, **CONDITIONS[name]},
        )
        jobs = {
            (policy, seed): Job(policy, scenario, seed)
            for policy in ('oracle', 'default')
            for seed in BOUND_SEEDS
        }
        summaries = runner.run(list(jobs.values()))
        worst = 0.0
        for seed in BOUND_SEEDS:
            oracle = summaries[jobs['oracle', seed]].latency_ms(99)
            default = summaries[jobs['default', seed]].latency_ms(99)
            worst = max(worst, default / oracle)
            rows.append(
                [
                    name,
                    str(seed),
                    _format_number(oracle),
                    _format_number(default),
                ]
                + [f'{default / oracle:.3f}', f'{limit}']
            )
        verdict = 'met' if worst <= limit else 'NOT MET'
        rows.append(
            [name, 'worst', '', '', f'{worst:.3f}', f'{limit} {verdict}']
        )
    headings = ['condition', 'seed', 'oracle p99', 'default p99', 'ratio']
    _print_table('Bound at 90 % load', [*headings, 'bound'], rows)


def print_harder(runner):
    """Print conditions harder than those for which the bound applies."""
    rows = []
    compared = ('oracle', 'two choices', 'probing + reports', 'default')
    for name, settings in HARDER_CONDITIONS.items():
        scenario = _scenario(**{'load': BOUND_LOAD, **settings})
        jobs = [Job(policy, scenario) for policy in compared]
        summaries = runner.run(jobs)
        base = summaries[jobs[0]].latency_ms(99)
        for job in jobs:
            summary = summaries[job]
            rows.append(
                [name, job.policy]
                + [
                    _format_number(summary.latency_ms(p))
                    for p in (50, 99, 99.9)
                ]
                + [f'{summary.latency_ms(99) / base:.3f}']
                + [f'{summary.failed_percent:.2f} %']
            )
    headings = ['condition', 'policy', 'p50', 'p99', 'p99.9', 'ratio']
    _print_table(
        f'Harder conditions at 90 % load (seed {SEED})',
        [*headings, 'failed'],
        rows,
    )


def print_variants(runner):
    """Print the default policy with one of its parts changed at a time."""
    scenarios = [
        _scenario(BOUND_LOAD, **CONDITIONS[name])
        for name in VARIANT_CONDITIONS
    ]
    oracles = [Job('oracle', scenario) for scenario in scenarios]
    jobs = {
        (variant, scenario): Job('default', scenario, SEED, variant)
        for variant in VARIANTS
        for scenario in scenarios
    }
    summaries = runner.run([*oracles, *jobs.values()])
    bases = [summaries[job].latency_ms(99) for job in oracles]
    rows = [
        [variant]
        + [
            f'{summaries[jobs[variant, s]].latency_ms(99) / base:.3f}'
            for s, base in zip(scenarios, bases)
        ]
        for variant in VARIANTS
    ]
    _print_table(
        f'Default policy, p99 as a multiple of the oracle (seed {SEED})',
        ['variant', *VARIANT_CONDITIONS],
        rows,
    )


def _microseconds(function, number=1000):
    return min(timeit.repeat(function, number=number, repeat=5)) / number * 1e6


def _record_answers(policy, states):
    answers = collections.deque()
    for index, state in enumerate(states):
        report = targets.LoadReport(index % 7, 6, 'b', latency_ms=20.0)
        answers.append(health.Answer(20.0 + index % 5, False, report))
        policy.sent(state.target, 0.0)
        policy.sent(state.target, 0.0)
        policy.answered(state.target, answers[-1], 0.01)
    return answers[0]


def print_cost():
    """Print the time of one choice; it varies between runs."""
    makers = {
        'round robin': routing.RoundRobin,
        'least in flight': routing.LeastInFlight,
        'two choices': routing.TwoChoices,
        'two choices, peak EWMA': routing.PeakEwma,
        'probing + reports': functools.partial(routing.Probing, True),
        'default': default_policy.DefaultPolicy,
    }
    rows = []
    for name, make in makers.items():
        row = [name]
        for count in (20, 200):
            states = [
                targets.TargetState(
                    targets.Target(f't{index}', 's', '127.0.0.1', index, 'd')
                )
                for index in range(count)
            ]
            policy, rng = make(), random.Random(SEED)
            answer = _record_answers(policy, states)
            target = states[0].target
            choose = functools.partial(policy.choose, states, 0.02, rng)

            def exchange():
                policy.sent(target, 0.02)
                policy.answered(target, answer, 0.02)

            row.append(f'{_microseconds(choose):.1f}')
            row.append(f'{_microseconds(exchange):.1f}')
        rows.append(row)
    headings = ['policy', '20: choose', '20: sent + answered']
    _print_table(
        'Cost in microseconds by number of candidates',
        [*headings, '200: choose', '200: sent + answered'],
        rows,
    )


def main() -> None:
    """Print all tables."""
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as executor:
        runner = Runner(executor)
        for table in (
            print_bound,
            print_conditions,
            print_harder,
            print_variants,
        ):
            before = runner.decisions
            table(runner)
            print(f'decisions: {runner.decisions - before}', flush=True)
    print_cost()
    print(f'decisions in all tables: {runner.decisions}')


if __name__ == '__main__':
    main()
