"""Records with which the gateways register in a feed of the platform."""

import collections.abc
import dataclasses
import typing

import msgspec

from dragonflyslip_core import feeds
from dragonflyslip_core import membership
from dragonflyslip_entry import flag_settings
from dragonflyslip_entry.gateway import crash_records
from dragonflyslip_entry.gateway.rollouts import decision_records


# Begin the keys of other records in the feed.
_OTHER_PREFIXES = (crash_records.KEY_PREFIX, decision_records.KEY_PREFIX)


class EntryRecord(msgspec.Struct, frozen=True):
    """Registration record of a gateway; its key is the gateway's name.

    :param incarnation: random 64-bit number that identifies the process.
    :param endpoint: IP:PORT at which other gateways reach it.
    """

    incarnation: int
    failure_domain: flag_settings.Name
    endpoint: flag_settings.Endpoint

    def __post_init__(self):
        if not 0 <= self.incarnation < 2**64:
            raise ValueError(
                'the incarnation is not an unsigned 64-bit number'
            )


# Raises DecodeError or RecursionError for a malformed value.
decode = msgspec.json.Decoder(
    EntryRecord, dec_hook=flag_settings.decode_hook
).decode


@dataclasses.dataclass(frozen=True)
class RegisteredGateway:
    """A gateway that is registered.

    :param host: IP address where it accepts links of other gateways.
    :param port: port where it accepts links of other gateways.
    """

    entry_id: membership.EntryId
    failure_domain: str
    host: str
    port: int

    @classmethod
    def from_record(cls, record: feeds.FeedRecord) -> typing.Self | None:
        """Return the gateway that a record registers, None if it does not."""
        entry = parse(record)
        if entry is None:
            return None
        host, port = flag_settings.split_endpoint(entry.endpoint)
        entry_id = membership.EntryId(record.key, entry.incarnation)
        return cls(entry_id, entry.failure_domain, host, port)


class RegistrationSink(typing.Protocol):
    """Follows which gateways are registered."""

    def set_gateways(
        self, gateways: collections.abc.Mapping[str, RegisteredGateway]
    ) -> None:
        """Replace the registered gateways.

        :param gateways: all of them by name; may change after the call.
        """


def parse(record: feeds.FeedRecord) -> EntryRecord | None:
    """Return the registration that a record holds, None if it holds none."""
    if record.value is None or not is_gateway(record):
        return None
    try:
        return decode(record.value)
    except (msgspec.DecodeError, RecursionError):
        return None


def is_gateway(record: feeds.FeedRecord) -> bool:
    """Return whether a record belongs to a gateway, valid or not."""
    return not record.key.startswith(_OTHER_PREFIXES)


def find(
    page: feeds.FeedPage, key: str, value: bytes
) -> feeds.FeedRecord | None:
    """Return the record with this key and value, None if there is none."""
    for record in page.records:
        if record.key == key and record.value == value:
            return record
    return None
