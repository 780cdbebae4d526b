"""Rollouts: moving the traffic of a service to another version.

An operator orders a rollout. The entries send a growing share of the requests
to the new version, count the responses and report them to a few of them, the
candidates. These decide about each step in a log that all entries follow; see
docs/design/rollouts.md.

- Every entry keeps an :class:`OrderTable`, a :class:`DecisionTable` and a
  :class:`VersionFilter`, and calls :func:`resolve` after each change.
- For each running rollout it keeps a :class:`ReportCounter`.
- A candidate (:func:`candidates_of`) also keeps a :class:`Decider`.
"""

import importlib
import typing

# Public names by module. As in the package above, a module is imported when
# one of its names is first used: most entries never judge a version.
_NAMES_BY_MODULE = {
    'advice': ('Advice', 'AdvisedShare'),
    'candidates': ('candidates_of', 'rank_of', 'takeover_delay_s'),
    'cells': ('CellKey', 'Counts', 'Group'),
    'decider': ('Decider',),
    'decisions': (
        'Decision',
        'DecisionTable',
        'Figures',
        'HeldDecision',
        'Reason',
        'RolloutState',
        'RolloutStatus',
    ),
    'evidence': ('EvidenceTable',),
    'fleet': ('FleetState', 'VersionedTarget'),
    'judging': ('judge', 'Verdict'),
    'orders': ('KnownOrder', 'OrderTable', 'RolloutOrder'),
    'reports': (
        'CompactReport',
        'Report',
        'REPORT_INTERVAL_S',
        'ReportCounter',
    ),
    'rollout': ('resolve', 'Rollout'),
    'stages': ('Stage',),
    'versions': ('Assignment', 'UNRESTRICTED', 'VersionFilter'),
}
_MODULE_BY_NAME = {
    name: module
    for module, names in _NAMES_BY_MODULE.items()
    for name in names
}

__all__ = list(_MODULE_BY_NAME)


def __getattr__(name: str) -> typing.Any:
    module_name = _MODULE_BY_NAME.get(name)
    if module_name is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    module = importlib.import_module(f'{__name__}.{module_name}')
    # The next use finds it without this call, which takes microseconds.
    value = globals()[name] = getattr(module, name)
    return value
