"""Interfaces that a platform adapter implements for the gateway."""

import collections.abc
import dataclasses
import importlib
import typing

import multidict
from returns import result

from dragonflyslip_core import accounts
from dragonflyslip_core import directory
from dragonflyslip_core import errors as core_errors
from dragonflyslip_core import feeds
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_core import placement
from dragonflyslip_core import rollouts
from dragonflyslip_entry import errors

Headers = multidict.MultiMapping[str]


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """What the headers of a caller's request state.

    :param request_id: id of this attempt, empty if there is none.
    :param timeout_s: seconds that the caller will wait, None if not stated.
    """

    request_id: str
    timeout_s: float | None


@dataclasses.dataclass(frozen=True)
class ResponseMetadata:
    """What the status and headers of a target's response state.

    :param request_id: id of the request that it answers, if stated.
    :param has_receipt: whether it carries the header by which a target
        confirms that it handled the request.
    :param not_run: whether the target states that it did not run the
        request.
    :param wrong_target: whether the request reached another target than the
        one it was meant for.
    :param load: load of the target, if stated.
    :param limit: requests a second that the target takes from all gateways
        together, if stated.
    :param leaving: whether the target says that it will end soon.
    :param pause_s: seconds for which the target wants nothing from this
        gateway, if it asks for a pause.
    """

    request_id: str | None
    has_receipt: bool
    not_run: bool
    wrong_target: bool
    load: placement.LoadReading | None
    limit: float | None = None
    leaving: bool = False
    pause_s: float | None = None


class Dialect(typing.Protocol):
    """Headers and statuses that callers and targets of a platform use.

    :ivar readiness_path: path of the gateway's readiness endpoint.
    :ivar end_to_end_headers: lower-case names of headers that are passed on
        even if ``Connection`` lists them: the request id, and the receipt by
        which a target confirms that it handled a request.
    :ivar not_run_statuses: failure statuses which state that the request has
        not run and never will.
    :ivar private_headers: lower-case names, with hyphens, of headers that
        never reach a target if the manifest has client accounts: those of
        credentials, and the one that names the account.
    :ivar key_challenge: value of ``WWW-Authenticate`` that asks for a key.
    """

    readiness_path: str
    end_to_end_headers: frozenset[str]
    not_run_statuses: frozenset[int]
    private_headers: frozenset[str]
    key_challenge: str

    def parse_request(self, headers: Headers) -> RequestMetadata:
        """Return what a caller's request states."""

    def parse_credentials(self, headers: Headers) -> accounts.Credentials:
        """Return what a caller's request presents as its key."""

    def add_account_header(
        self, headers: multidict.CIMultiDict[str], name: str
    ) -> None:
        """Add the name of a client account to the headers of a request."""

    def add_request_headers(
        self,
        headers: multidict.CIMultiDict[str],
        target_id: str,
        left_s: float,
    ) -> None:
        """Add the headers that a target needs to the headers of a request.

        :param left_s: seconds until the caller gives up.
        """

    def parse_response(
        self, status: int, headers: Headers
    ) -> ResponseMetadata:
        """Return what a target's response states."""

    def parse_health(
        self, status: int, headers: Headers
    ) -> placement.HealthReading:
        """Return what a response of a target's health endpoint states."""


class TopologySink(typing.Protocol):
    """Receives what a :class:`FeedDecoder` decodes.

    Each method may be called again with a state that is already known.
    """

    def manifest_read(self, manifest: manifest_types.Manifest) -> None:
        """Apply a manifest unless a newer one is in force."""

    def targets_listed(
        self, registrations: list[directory.Registration], era: int
    ) -> None:
        """Apply a complete list of the registered targets.

        :param era: era of the store that it is from.
        """

    def target_registered(self, registration: directory.Registration) -> None:
        """Add or update one registration."""

    def target_removed(self, target_id: str) -> None:
        """Remove one registration."""

    def domains_out_listed(self, domains: frozenset[str], era: int) -> None:
        """Apply a complete list of the failure domains out of service.

        :param era: as in :meth:`targets_listed`.
        """

    def domain_out_set(self, domain: str, out: bool) -> None:
        """Take a failure domain out of service or put it back."""

    def rollout_ordered(self, order: rollouts.RolloutOrder) -> None:
        """Apply an operator's order."""

    def rollout_withdrawn(
        self, service: str, position: feeds.Position
    ) -> None:
        """Apply the deletion of an order."""

    def rollouts_listed(
        self, services: frozenset[str], through: feeds.Position
    ) -> None:
        """Apply a complete list of the services that have an order.

        :param services: those with a record, readable or not.
        """

    def rollouts_through(self, through: feeds.Position) -> None:
        """Record up to which position the orders have been read."""

    def record_skipped(self, key: str, reason: str) -> None:
        """Report a record that cannot be used."""

    def source_lost(self, source: str, reason: str) -> None:
        """Report that the store does not respond to reads of a feed."""

    def source_regained(self, source: str) -> None:
        """Report that the store responds again, if it did not."""


class RecordLog(typing.Protocol):
    """Client of a platform's store, which holds keyed logs, called feeds.

    A failed read may be retried.

    :ivar heard_at: loop time at which the store last began to respond to a
        request for records or with the offset of a record, in the newest
        known era or a newer one.
    :ivar era: newest known era of the store, which the gateway raises if it
        learns of a newer one elsewhere. Responses of older eras come from a
        part of the store that lags behind, and are failures.
    """

    heard_at: float
    era: int

    async def newest(
        self, feed: str
    ) -> result.Result[feeds.ReadPage, core_errors.CoreError]:
        """Return the newest record of each key."""

    async def read(
        self,
        feed: str,
        position: feeds.Position,
        wait_s: float,
        copy_bytes: int | None = None,
        on_response: collections.abc.Callable[[], None] | None = None,
    ) -> result.Result[feeds.ReadPage, core_errors.CoreError]:
        """Return the records from a position on.

        The page is complete if the log no longer holds that position, or if
        the newest record of each key is much shorter than all records from it
        on. It is then of the log's era, otherwise of the position's. It ends
        before the end of the log if the read failed after some records.

        :param wait_s: how long to wait if there are no such records yet.
        :param copy_bytes: length of the newest records that the caller has.
            None reads all records.
        :param on_response: called once the response begins to arrive, from
            when on it may hold changes that the caller lacks.
        """

    async def append(
        self,
        feed: str,
        key: str,
        value: bytes | None,
        at: feeds.Position | None = None,
    ) -> result.Result[feeds.Position, core_errors.CoreError]:
        """Write one record and return its position.

        After a failure the record may have been written, or may still
        appear later.

        :param value: None deletes the key.
        :param at: write only if the log ends there. The failure is
            :exc:`~core_errors.LogEndError` if it ends elsewhere, and the
            record has not been written. It is
            :exc:`~core_errors.LogEraError` if the log is of another era; the
            record may then have been written, but not after the records that
            the caller knew.
        """

    async def close(self) -> None:
        """Close the connections to the platform."""


class FeedDecoder(typing.Protocol):
    """Decodes records of feeds and reports them to a :class:`TopologySink`."""

    def apply(self, feed: str, page: feeds.FeedPage) -> None:
        """Decode the records of a page and report them."""


class Adapter(typing.Protocol):
    """Connects the gateway to a platform.

    :ivar feeds: feeds of manifests, failure domains taken out of service,
        and targets.
    :ivar entries_feed: feed in which the gateways register themselves and
        record the requests that were in flight at crashes of targets.
    :ivar order_feed: feed of the orders of rollouts, one of ``feeds``.
    :ivar status_feed: feed of the status of rollouts.
    :ivar target_feed: the one of ``feeds`` in which targets register.
    :ivar manifest_feed: the one of ``feeds`` that holds the manifests.
    """

    dialect: Dialect
    feeds: tuple[str, ...]
    target_feed: str
    manifest_feed: str
    entries_feed: str
    order_feed: str
    status_feed: str

    def encode_status(
        self, status: rollouts.RolloutStatus
    ) -> tuple[str, bytes]:
        """Return the key and the value of the record of a status."""

    def decode_status(
        self, key: str, value: bytes
    ) -> result.Result[rollouts.RolloutStatus | None, core_errors.CoreError]:
        """Return the status that a record of ``status_feed`` holds.

        :return: None if the record is about something else.
        """

    def open_log(self, store_url: str) -> RecordLog:
        """Return the platform's logs without reading anything yet."""

    def open_decoder(self, sink: TopologySink) -> FeedDecoder:
        """Return a decoder that reports to ``sink``."""


def load_adapter(name: str) -> Adapter:
    """Return the adapter that the module ``name`` provides.

    :raises SettingsError: if the module cannot be imported or has no
        ``Adapter``.
    """
    try:
        module = importlib.import_module(name)
        return module.Adapter()
    except (ImportError, AttributeError) as error:
        raise errors.SettingsError(
            [f'--adapter: {name!r} is not an adapter module: {error}']
        ) from error
