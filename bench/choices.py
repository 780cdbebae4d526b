"""Target selection when target speeds change, compared with an oracle.

Run ``python -m bench.choices``; it takes about a minute.
"""

from dragonflyslip_testing import choices

UTILISATIONS = (0.2, 0.35, 0.5, 0.65)
SELECTORS = {
    'two choices by requests in flight': choices.two_choices,
    '2 probed': choices.probing_selector(2),
    '4 probed': choices.probing_selector(4),
    '6 probed': choices.probing_selector(6),
    'as a gateway: 6 probed, up to 3 rounds': choices.gateway_selector,
    '10 probed': choices.probing_selector(10),
    'all probed': choices.probing_selector(22),
    'oracle': choices.oracle,
}


def percentile(values: list[float], fraction: float) -> float:
    """Return the percentile ``fraction``, 0 to 1, of a non-empty list."""
    return sorted(values)[int(fraction * (len(values) - 1))]


def main() -> None:
    """Print the table."""
    print('| utilisation | selection | in time | p50 ms | p99 ms |')
    print('|---|---|---|---|---|')
    for utilisation in UTILISATIONS:
        for name, selector in SELECTORS.items():
            latencies_s = choices.simulate(
                choices.Scenario(utilisation), selector
            )
            in_time = sum(
                latency <= choices.TARGET_LATENCY_S for latency in latencies_s
            ) / len(latencies_s)
            p50, p99 = (1000 * percentile(latencies_s, p) for p in (0.5, 0.99))
            print(
                f'| {utilisation:g} | {name} | {in_time:.1%} '
                f'| {p50:.0f} | {p99:.0f} |',
                flush=True,
            )


if __name__ == '__main__':
    main()
