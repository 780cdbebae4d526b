"""Rankings by rendezvous hashing that spread over failure domains.

Entries that know the same names compute the same ranking without a message,
and a name that joins or leaves moves few others.
"""

import collections
import collections.abc

from dragonflyslip_core import placement


def rank_across_domains(
    key: str, domains: collections.abc.Mapping[str, str]
) -> list[str]:
    """Rank names for a key, such that the first are in different domains.

    :param domains: failure domains by name.

    >>> rank_across_domains('k', {'a1': 'a', 'a2': 'a', 'b1': 'b'})[2][0]
    'a'
    """
    ranks_in_domain: collections.Counter[str] = collections.Counter()
    ranked = []
    for name in sorted(
        domains, key=lambda name: placement.rendezvous_hash(key, name)
    ):
        domain = domains[name]
        ranked.append((ranks_in_domain[domain], name))
        ranks_in_domain[domain] += 1
    # The sort is stable, so names of one rank keep the order of their hashes.
    return [name for _, name in sorted(ranked, key=lambda item: item[0])]
