"""What a gateway knows of the other gateways and of its own copy."""

import collections.abc
import typing

from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_core import providers as provider_types
import dragonflyslip_wire as wire

Handler = collections.abc.Callable[[membership.EntryId, typing.Any], None]


class RegisteredGateway(typing.Protocol):
    """A gateway that is registered."""

    failure_domain: str


class Network(typing.Protocol):
    """Links to registered gateways by name.

    :ivar gateways: the registered gateways by name.
    :ivar gone: names of registered gateways whose process is known to have
        ended.
    :ivar handlers: called with the sender and a message, by its type.
    """

    gateways: collections.abc.Mapping[str, RegisteredGateway]
    gone: collections.abc.Set[str]
    handlers: dict[type, Handler]

    def send(self, name: str, message: wire.Message) -> bool:
        """Send a message; return whether it was accepted."""


class DecisionFeed:
    """This gateway's copy of the feed that holds the decisions."""

    def __init__(self):
        self._copy = feeds.FeedCopy()
        self._age_s: collections.abc.Callable[[], float] = lambda: float('inf')

    def follow(
        self,
        copy: feeds.FeedCopy,
        age_s: collections.abc.Callable[[], float],
    ) -> None:
        """Set the copy.

        :param age_s: returns the seconds since it was that of the store.
        """
        self._copy = copy
        self._age_s = age_s

    @property
    def through(self) -> feeds.Position | None:
        """Position after the last record of the copy, None without one."""
        return self._copy.through

    def is_fresh(self) -> bool:
        """Return whether the copy was that of the store a moment ago."""
        return self._age_s() <= provider_types.FRESH_S
