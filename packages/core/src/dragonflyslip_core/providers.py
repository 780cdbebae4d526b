"""From which entries an entry copies a log, and when it reads the log itself.

Each entry registers in a log when it starts. It copies from entries that
registered before it, the oldest first, and reads the log itself if it finds
too few of them. Every entry knows all older ones, so entries need not be
notified of a new one, two entries never copy from each other, and the oldest
live entries read the log without an election.
"""

import collections
import dataclasses
import typing

from dragonflyslip_core import feeds
from dragonflyslip_core import membership

# Number of entries that one entry copies from.
PROVIDER_COUNT = 2
# Maximum number of connections while an entry looks for fresh providers.
MAX_CONNECTIONS = 4
# A provider is fresh if its copy matched the log at most this long ago.
FRESH_S = 0.9
# An entry reads the log after this time without any fresh provider, or with
# only one.
NO_PROVIDER_DELAY_S = 0.3
ONE_PROVIDER_DELAY_S = 2.0
# Replaces ``NO_PROVIDER_DELAY_S`` while an entry has no copy yet and so cannot
# serve requests.
STARTUP_DELAY_S = 0.05
# The delays without any fresh provider of an entry that others are about to
# precede: they find the log's state within this time, and it copies from them.
PATIENT_DELAY_S = 0.6
PATIENT_STARTUP_DELAY_S = 0.3
# An entry with at least this many older ones lets them read first.
FIRST_READERS = 6
# An entry that starts also tries entries that registered shortly before it,
# this many registrations earlier: after a restart of all entries, records of
# processes that have ended precede these.
RECENT_DISTANCES = (1, 8, 64)
# Delay before connecting again after a failure, doubled with each failure.
RETRY_DELAY_S = 1.5
MAX_RETRY_DELAY_S = 60.0
# The fleet size is the largest number of entries seen within this time.
FLEET_SIZE_WINDOW_S = 30.0


@dataclasses.dataclass(frozen=True)
class Provider:
    """An entry that registered before this one.

    :param host: IP address where it accepts connections of other entries.
    :param port: port where it accepts connections of other entries.
    :param registered_at: position of its registration in the log; the oldest
        entry has the lowest.
    """

    entry_id: membership.EntryId
    failure_domain: str
    host: str
    port: int
    registered_at: feeds.Position


@dataclasses.dataclass
class _Connection:
    # None until the provider has reported its state.
    fresh: bool | None = None


class ProviderSelector:
    """Selects the older entries to which connections are kept.

    The oldest entry of each failure domain comes first, so that a provider
    remains if a domain fails. Entries that could not be reached come last, so
    that many registrations of stopped entries do not delay the search for
    live ones.

    :param providers: all entries that registered before this one.
    :ivar order: the providers in order of preference.
    """

    def __init__(self, providers: typing.Iterable[Provider]):
        self.order = _alternate_domains(providers)
        self._connections: dict[membership.EntryId, _Connection] = {}
        self._retry_at: dict[membership.EntryId, float] = {}
        self._retry_delays_s: dict[membership.EntryId, float] = {}

    def providers_to_connect(
        self, now: float, starting: bool = False
    ) -> list[Provider]:
        """Return the providers to which connections should be opened.

        Providers that failed before come last, and only after their retry
        delay.

        :param starting: whether the entry has no copy yet.
        """
        missing = []
        connections = usable = 0
        candidates = sorted(self.order, key=self._has_failed)
        wanted = PROVIDER_COUNT
        if starting:
            recent = self._recent_providers()
            candidates = recent + [p for p in candidates if p not in recent]
            wanted = MAX_CONNECTIONS
        for provider in candidates:
            if usable >= wanted or connections >= MAX_CONNECTIONS:
                break
            connection = self._connections.get(provider.entry_id)
            if connection is None:
                if now < self._retry_at.get(provider.entry_id, now):
                    continue
                missing.append(provider)
            connections += 1
            usable += connection is None or connection.fresh is not False
        return missing

    def _recent_providers(self) -> list[Provider]:
        newest_first = sorted(
            self.order, key=lambda item: item.registered_at, reverse=True
        )
        return [
            newest_first[distance - 1]
            for distance in RECENT_DISTANCES
            if distance <= len(newest_first)
        ]

    def _has_failed(self, provider: Provider) -> bool:
        return provider.entry_id in self._retry_delays_s

    @property
    def first_readers(self) -> int:
        """The number of older entries that would read the log first.

        They have not failed when they were tried.
        """
        return sum(not self._has_failed(item) for item in self.order)

    def follow(self, providers: typing.Iterable[Provider]) -> list[Provider]:
        """Replace the providers; connections to those that stay are kept.

        The order of registrations changes when the log comes back from an
        older copy, and the entries that it lost register again.

        :return: providers that were dropped.
        """
        before = self.order
        self.order = _alternate_domains(providers)
        kept = {item.entry_id for item in self.order}
        dropped = [item for item in before if item.entry_id not in kept]
        for provider in dropped:
            self.disconnected(provider)
        return dropped

    def contains(self, entry_id: membership.EntryId) -> bool:
        """Return whether an entry is a provider."""
        return any(item.entry_id == entry_id for item in self.order)

    def registration_ended(
        self, name: str, before: feeds.Position
    ) -> list[Provider]:
        """Drop providers whose registration was replaced or removed.

        Without this, an entry would search live providers among the records
        of processes that have ended.

        :param name: name of the entry.
        :param before: position of the record that ended its registration.
        :return: the dropped providers.
        """
        ended = [
            item
            for item in self.order
            if item.entry_id.name == name and item.registered_at < before
        ]
        for provider in ended:
            self.replaced(provider)
        return ended

    def unneeded_providers(self) -> list[Provider]:
        """Return the connected providers that are not needed.

        A provider that has not reported its state yet is never among them,
        since its connection may still be opening.
        """
        usable = 0
        unneeded = []
        for provider in self.order:
            connection = self._connections.get(provider.entry_id)
            if connection is None or connection.fresh is None:
                continue
            if usable >= PROVIDER_COUNT:
                unneeded.append(provider)
            usable += connection.fresh is True
        return unneeded

    def opened(self, provider: Provider) -> None:
        """Record that a connection is being opened."""
        self._connections[provider.entry_id] = _Connection()

    def closed(self, provider: Provider, now: float) -> None:
        """Record that a connection failed or ended."""
        self._connections.pop(provider.entry_id, None)
        retry_delay_s = self._retry_delays_s.get(
            provider.entry_id, RETRY_DELAY_S
        )
        self._retry_at[provider.entry_id] = now + retry_delay_s
        self._retry_delays_s[provider.entry_id] = min(
            2 * retry_delay_s, MAX_RETRY_DELAY_S
        )

    def disconnected(self, provider: Provider) -> None:
        """Record that a connection was closed because it is not needed."""
        self._connections.pop(provider.entry_id, None)

    def replaced(self, provider: Provider) -> None:
        """Drop a provider at whose address another, newer process answered."""
        self._connections.pop(provider.entry_id, None)
        self.order = [
            item for item in self.order if item.entry_id != provider.entry_id
        ]

    def set_fresh(self, provider: Provider, fresh: bool) -> None:
        """Record whether a connected provider's copy is up to date."""
        connection = self._connections.get(provider.entry_id)
        if connection is not None:
            connection.fresh = fresh
        if fresh:
            self._retry_delays_s.pop(provider.entry_id, None)

    @property
    def fresh_count(self) -> int:
        """The number of connected providers that are fresh."""
        return sum(
            connection.fresh is True
            for connection in self._connections.values()
        )


class ReadDecision:
    """Decides whether this entry reads the log itself.

    :ivar reads: the current decision, True if this entry reads the log.
    """

    def __init__(self):
        self.reads = False
        self._none_since: float | None = None
        self._too_few_since: float | None = None

    def update(
        self,
        fresh: int,
        alone: bool,
        now: float,
        starting: bool = False,
        patient: bool = False,
    ) -> bool:
        """Update the decision.

        :param fresh: number of fresh providers.
        :param alone: whether it is certain that no older entry exists.
        :param now: monotonic seconds.
        :param starting: whether the entry has no copy yet.
        :param patient: whether others are about to read the log, from which
            this entry can copy.
        :return: whether this entry reads the log itself.
        """
        if starting:
            delay_s = PATIENT_STARTUP_DELAY_S if patient else STARTUP_DELAY_S
        else:
            delay_s = PATIENT_DELAY_S if patient else NO_PROVIDER_DELAY_S
        self._none_since = _since(self._none_since, fresh < 1, now)
        self._too_few_since = _since(
            self._too_few_since, fresh < PROVIDER_COUNT, now
        )
        if self.reads and not alone:
            # Other entries may copy from an entry that reads the log, so it
            # continues until it has enough fresh providers itself.
            self.reads = fresh < PROVIDER_COUNT
        else:
            self.reads = (
                alone
                or _lasted(self._none_since, delay_s, now)
                or _lasted(self._too_few_since, ONE_PROVIDER_DELAY_S, now)
            )
        return self.reads


class FleetSize:
    """Estimates how many entries share the limits of the fleet.

    :param minimum: lower bound of the estimate.
    """

    def __init__(self, minimum: int):
        self.minimum = minimum
        self._counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def record_count(self, entries: int, now: float) -> None:
        """Record a number of live entries, as seen by any of them."""
        while self._counts and self._counts[-1][1] <= entries:
            self._counts.pop()
        self._counts.append((now, entries))

    def entries(self, now: float) -> int:
        """Return the largest count of the last ``FLEET_SIZE_WINDOW_S``.

        An entry that is disconnected keeps its last count.
        """
        while (
            len(self._counts) > 1
            and self._counts[0][0] < now - FLEET_SIZE_WINDOW_S
        ):
            self._counts.popleft()
        return max(self.minimum, self._counts[0][1] if self._counts else 0)


def _alternate_domains(providers: typing.Iterable[Provider]) -> list[Provider]:
    ranks: collections.Counter[str] = collections.Counter()
    ranked = []
    for provider in sorted(providers, key=lambda item: item.registered_at):
        rank = ranks[provider.failure_domain]
        ranked.append((rank, provider.registered_at, provider))
        ranks[provider.failure_domain] += 1
    ranked.sort(key=lambda item: item[:2])
    return [provider for *_, provider in ranked]


def _since(since: float | None, holds: bool, now: float) -> float | None:
    if not holds:
        return None
    return now if since is None else since


def _lasted(since: float | None, duration_s: float, now: float) -> bool:
    return since is not None and now - since >= duration_s
