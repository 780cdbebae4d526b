"""Plan of the faults of a soak run."""

import dataclasses
import random

MAX_PAUSE_S = 0.6
# Series of stops start early, so that a short run sees them end.
FIRST_SERIES_AT_S = 0.3
# The last fault of every plan. It starts so long before the end of the others
# and outlasts them, since gateways with a fault may exceed a limit. It is not
# among those chosen at random, so that plans of earlier seeds stay the same.
LIMIT_FAULT = 'limit_target'
LIMIT_LEAD_S = 1.0
# A further fault of the plans of even seeds, likewise.
CRASH_FAULT = 'send_crashing_request'
CRASH_AT_S = 0.5
# A further fault of the plans of odd seeds, likewise.
LOSS_FAULT = 'lose_store_response'
LOSS_AT_S = 0.5
# How often each fault is chosen, relative to the others.
WEIGHTS = {
    'pause': 1,
    'kill': 1,
    'terminate': 2,
    'terminate_series': 1,
    'terminate_while_answering': 2,
    'send_sighup': 2,
    'drop_store_traffic': 1,
    'blackhole_store': 1,
    'reset_store': 1,
    'fail_store': 1,
    'compact_store': 1,
    'publish_manifests': 3,
    'evacuate': 1,
    'queue_response_faults': 1,
    'impair_target_connections': 1,
    'silence_targets': 1,
    'slow_target': 2,
    'drain_target': 1,
    'replace_target': 1,
    'make_target_cold': 1,
}


@dataclasses.dataclass(frozen=True)
class PlannedFault:
    """A fault that a run injects.

    :param at_s: seconds after the start of the faults.
    :param name: name of the fault, a key of ``WEIGHTS``.
    :param seed: seed for the choices within the fault.
    """

    at_s: float
    name: str
    seed: str


def plan_faults(seed: int, seconds: float) -> list[PlannedFault]:
    """Return the faults of a run, in the order of their start.

    Each plan starts with a series of stops, half of them with targets that do
    not answer. In its last second a target begins to state a limit. If the
    seed is even, a request crashes the targets that run it, else a response
    of the store is lost.

    :param seconds: how long faults are injected.
    """
    rng = random.Random(seed)
    names, weights = list(WEIGHTS), list(WEIGHTS.values())
    plan = [
        PlannedFault(FIRST_SERIES_AT_S, 'terminate_series', f'{seed}/1'),
    ]
    if rng.random() < 0.5:
        plan.insert(0, PlannedFault(0.0, 'silence_targets', f'{seed}/0'))
    at_s = FIRST_SERIES_AT_S
    while (at_s := at_s + rng.uniform(0.05, MAX_PAUSE_S)) < seconds:
        name = rng.choices(names, weights)[0]
        plan.append(PlannedFault(at_s, name, f'{seed}/{len(plan) + 1}'))
    limit_at_s = max(FIRST_SERIES_AT_S, seconds - LIMIT_LEAD_S)
    plan.append(PlannedFault(limit_at_s, LIMIT_FAULT, f'{seed}/limit'))
    if seed % 2 == 0:
        plan.append(PlannedFault(CRASH_AT_S, CRASH_FAULT, f'{seed}/crash'))
    else:
        plan.append(PlannedFault(LOSS_AT_S, LOSS_FAULT, f'{seed}/loss'))
    return sorted(plan, key=lambda fault: fault.at_s)
