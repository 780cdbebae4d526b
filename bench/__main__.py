"""Run the benchmarks listed here, one after the other."""

import importlib

# The others (choices, log_lines, relays, slopes, upload) are run singly.
_BENCHMARKS = (
    'routing',
    'fleet',
    'overload',
    'returning',
    'hedging',
    'crashes',
    'claims',
    'load',
)

if __name__ == '__main__':
    for name in _BENCHMARKS:
        print(f'\n# python -m bench.{name}\n', flush=True)
        importlib.import_module(f'bench.{name}').main()
