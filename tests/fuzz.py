"""Run the stateful property tests longer than CI does, from a given seed.

python -m tests.fuzz --examples 2000 --seed 1 [MACHINE ...]

Each MACHINE names a Hypothesis state machine of ``_MACHINES``.
"""

import argparse
import importlib.util
import pathlib
import sys
import time

import hypothesis
from hypothesis import stateful

_CORE_TESTS = (
    pathlib.Path(__file__).parent.parent / 'packages' / 'core' / 'tests'
)
_MACHINES = {
    'claims': ('test_claims.py', 'ClaimMachine'),
    'configuration': ('test_checkpoints.py', 'ConfigurationMachine'),
    'feeds': ('test_feed_machine.py', 'FeedMachine'),
    'fleet': ('test_fleet_machine.py', 'FleetMachine'),
    'suspects': ('test_suspects.py', 'SuspectMachine'),
    'admission': ('test_limits.py', 'AdmissionMachine'),
}


def _load_machine(name: str) -> type[stateful.RuleBasedStateMachine]:
    file_name, class_name = _MACHINES[name]
    spec = importlib.util.spec_from_file_location(
        f'fuzz_{name}', _CORE_TESTS / file_name
    )
    module = importlib.util.module_from_spec(spec)
    sys.modules[spec.name] = module
    spec.loader.exec_module(module)
    return getattr(module, class_name)


def main() -> None:
    """Run the state machines given on the command line, or all of them."""
    parser = argparse.ArgumentParser(prog='tests.fuzz')
    parser.add_argument('machines', nargs='*', metavar='MACHINE')
    parser.add_argument('--examples', type=int, default=1000)
    parser.add_argument('--steps', type=int, default=60)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    unknown = set(arguments.machines) - set(_MACHINES)
    if unknown:
        parser.error(f'unknown state machine: {", ".join(sorted(unknown))}')
    settings = hypothesis.settings(
        max_examples=arguments.examples,
        stateful_step_count=arguments.steps,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    for name in arguments.machines or _MACHINES:
        machine = hypothesis.seed(arguments.seed)(_load_machine(name))
        started = time.monotonic()
        stateful.run_state_machine_as_test(machine, settings=settings)
        print(
            f'{name}: {arguments.examples} examples of up to '
            f'{arguments.steps} steps, seed {arguments.seed}, '
            f'{time.monotonic() - started:.0f} s: passed',
            flush=True,
        )


if __name__ == '__main__':
    main()
