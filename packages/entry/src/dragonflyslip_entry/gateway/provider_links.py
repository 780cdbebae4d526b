"""Connections to the gateways from which feeds are copied."""

import dataclasses

from dragonflyslip_core import feeds
from dragonflyslip_core import providers as provider_types
from dragonflyslip_entry import peer_links
import dragonflyslip_wire as wire


@dataclasses.dataclass
class ProviderLink:
    """A connection to a provider.

    :param states: states of the feeds in the provider's last status, by name.
    :param status_received_at: when that status was received.
    :param confirmed_at: when this gateway's copy was last known to equal the
        log, by feed.
    """

    provider: provider_types.Provider
    link: peer_links.PeerLink
    opened_at: float
    subscribed_at: float
    states: dict[str, wire.FeedState] = dataclasses.field(default_factory=dict)
    status_received_at: float = float('-inf')
    confirmed_at: dict[str, float] = dataclasses.field(default_factory=dict)

    def confirm(self, name: str, through: feeds.Position | None) -> None:
        """Update ``confirmed_at`` if the copy reaches the provider's.

        :param through: position after the last record of the feed that this
            gateway has.
        """
        if self.is_of_older_era(name, through):
            # Nor did it confirm what this era has replaced.
            self.confirmed_at.pop(name, None)
            return
        state = self.states.get(name)
        if state is None or through is None or through < state.through:
            return
        known = self.confirmed_at.get(name, float('-inf'))
        self.confirmed_at[name] = max(
            known, self.status_received_at - state.age_s
        )

    def age_s(self, name: str, now: float) -> float:
        """Return the seconds since the copy was known to equal the log."""
        return now - self.confirmed_at.get(name, float('-inf'))

    def is_of_older_era(
        self, name: str, through: feeds.Position | None
    ) -> bool:
        """Return whether the provider's copy is of an older era than this one.

        :param through: as of :meth:`confirm`.
        """
        state = self.states.get(name)
        if state is None or through is None:
            return False
        return state.through.era < through.era


def is_fresh(state: wire.FeedState) -> bool:
    """Return whether a provider states that its copy is up to date."""
    return state.age_s <= provider_types.FRESH_S
