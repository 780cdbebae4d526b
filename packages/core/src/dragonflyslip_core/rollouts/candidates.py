"""Candidates: the entries that may decide about the rollout of a service.

There is no election and no lease. Each candidate decides from the evidence
that it holds, and the conditional append to the log settles who was first.
"""

import collections.abc

from dragonflyslip_core.rollouts import ranking

CANDIDATE_COUNT = 3
# Wait of each rank after the one before it. A decision is appended and read by
# the next candidate within this time, unless its decider has failed.
TAKEOVER_DELAY_S = 0.4


def candidates_of(
    service: str,
    domains: collections.abc.Mapping[str, str],
    gone: collections.abc.Set[str] = frozenset(),
) -> tuple[str, ...]:
    """Return the names of the candidates for a service, the first rank first.

    They are in different failure domains where possible.

    :param domains: failure domains of the registered entries by name.
    :param gone: entries that are known to have ended, for example because
        their address refuses connections or belongs to another process. An
        entry that is merely silent must not be listed: a gateway that is cut
        off would become its own candidate.
    """
    running = {
        name: domain for name, domain in domains.items() if name not in gone
    }
    ranked = ranking.rank_across_domains(f'rollout/{service}', running)
    return tuple(ranked[:CANDIDATE_COUNT])


def rank_of(
    name: str, candidates: collections.abc.Sequence[str]
) -> int | None:
    """Return the rank of an entry from 0, None if it is no candidate."""
    return candidates.index(name) if name in candidates else None


def takeover_delay_s(rank: int) -> float:
    """Return how long a candidate waits before a decision that is due."""
    return rank * TAKEOVER_DELAY_S
