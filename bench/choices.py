"""Ways to choose a target whose speed changes, against an oracle.

Run ``python -m bench.choices``; it takes about a minute.
"""

from dragonflyslip_testing import choices

USES = (0.2, 0.35, 0.5, 0.65)
WAYS = {
    'two choices by own requests': choices.two_choices,
    '2 asked': choices.ask(2),
    '4 asked': choices.ask(4),
    '6 asked': choices.ask(6),
    'as a gateway: 6 asked, up to 3 rounds': choices.as_gateway,
    '10 asked': choices.ask(10),
    'all asked': choices.ask(22),
    'oracle': choices.oracle,
}


def percentile(values: list[float], part: float) -> float:
    """Return a percentile, 0 to 1, of values that are not empty."""
    return sorted(values)[int(part * (len(values) - 1))]


def main() -> None:
    """Print the table."""
    print('| use | way | in time | p50 ms | p99 ms |')
    print('|---|---|---|---|---|')
    for use in USES:
        for name, way in WAYS.items():
            took = choices.play(choices.Setup(use), way)
            good = sum(t <= choices.LATENCY_S for t in took) / len(took)
            p50, p99 = (1000 * percentile(took, p) for p in (0.5, 0.99))
            print(
                f'| {use:g} | {name} | {good:.1%} | {p50:.0f} | {p99:.0f} |',
                flush=True,
            )


if __name__ == '__main__':
    main()
