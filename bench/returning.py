"""Goodput under overload with retries of refused calls.

Compares rules for the admission of these retries; the gateway uses the one of
``admission.is_worth_sending``.

Run ``python -m bench.returning``; it takes seconds.
"""

import dataclasses

from dragonflyslip_core import admission
from dragonflyslip_testing import returning

LOADS = (0.8, 1.0, 1.2, 1.4, 2.0)


def admit_if_in_time(
    request: admission.AdmissionRequest, load: admission.RouteLoad
) -> bool:
    """Admit each retry that can end before its caller gives up."""
    if request.is_retry:
        # A started request is admitted at any load if it can end in time.
        request = dataclasses.replace(request, started=True)
    return admission.is_worth_sending(request, load)


def admit_as_new(
    request: admission.AdmissionRequest, load: admission.RouteLoad
) -> bool:
    """Admit a retry by the rule for a first attempt with the same wait."""
    request = dataclasses.replace(request, is_retry=False)
    return admission.is_worth_sending(request, load)


ADMISSION_RULES = {
    'sent at any load': admit_if_in_time,
    'treated as a new call': admit_as_new,
    # A retry that will miss the target latency is only sent if the best
    # target has little expected work.
    'late only on targets with little work': admission.is_worth_sending,
}


def main() -> None:
    """Print the table."""
    print('| load | retries of refused calls | in time | late | refused |')
    print('|---|---|---|---|---|')
    for load in LOADS:
        for name, admit in ADMISSION_RULES.items():
            outcome = returning.simulate(returning.Overload(load), admit)
            print(
                f'| {load:g}x | {name} | {outcome.goodput:.0%} of capacity '
                f'({outcome.in_time}) | {outcome.late} | {outcome.refused} |'
            )


if __name__ == '__main__':
    main()
