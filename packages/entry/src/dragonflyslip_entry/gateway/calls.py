"""The state of one request and its body."""

import dataclasses
import functools
import math

from aiohttp import web
import multidict

from dragonflyslip_core import accounts
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_core import quotas
from dragonflyslip_core import request_crashes
from dragonflyslip_core import request_identity
from dragonflyslip_core import response_times as response_time_types
from dragonflyslip_core import rollouts
from dragonflyslip_entry import errors
from dragonflyslip_entry.gateway.caller_limits import limiter as limiter_types
from dragonflyslip_entry import headers

# Request bodies up to this size are kept in memory, so that a request which a
# target refused can be sent to another one.
MAX_KEPT_BODY_BYTES = 524_288
# Bytes of a body that wait in the process before it stops reading, twice the
# read buffer of the connection.
MAX_UNREAD_BYTES = 131_072


@dataclasses.dataclass(eq=False)
class Call:
    """A request that matched a route.

    Points in time are seconds of the event loop's clock.

    :param path: path and query as received.
    :param caller_deadline_at: when the caller's or the route's timeout ends.
    :param waited_before_s: seconds that the caller has been trying before this
        request arrived, estimated from the timeout that it states.
    :param headers: end-to-end headers, among them the credentials.
    :param priority_rank: number of ranks by which it is more urgent than the
        least urgent request of its service.
    :param response_times: how long requests of its route have lately taken.
    :param version: version of the manifest that chose the route.
    :param sent_to: ids of the targets that it was written to.
    :param refusals: number of targets that stated that they did not run it.
    :param reason: the last failure, for the log and the error response.
    :param stop_at: when the gateway's stop ends the request; infinite unless
        it is stopping.
    :param streaming: whether the response is sent while it arrives.
    :param answered: whether a target has responded without a server error.
    :param crash_chain: what was known of its crashes when it was sent.
    :param assignment: its group in a rollout and the targets that it may use;
        None before it is drawn.
    :param is_crash_trial: whether it may be sent although it was in flight at
        several crashes.
    :param credentials: what the caller presented as its key.
    :param key_check: result of the last look-up of the key.
    :param quota_token: the token with which its account's quota admitted it;
        None if the account has no limit.
    """

    request_id: str
    route: manifest_types.Route
    service: manifest_types.ServiceRules
    method: str
    path: str
    headers: multidict.CIMultiDict[str] = dataclasses.field(repr=False)
    has_body: bool
    arrived_at: float
    caller_deadline_at: float
    waited_before_s: float
    priority_rank: int
    response_times: response_time_types.ResponseTimes
    version: int
    sent_to: list[str] = dataclasses.field(default_factory=list)
    refusals: int = 0
    reason: str = ''
    stop_at: float = math.inf
    streaming: bool = False
    answered: bool = False
    crash_chain: request_crashes.Chain = request_crashes.NO_CHAIN
    is_crash_trial: bool = False
    assignment: rollouts.Assignment | None = None
    credentials: accounts.Credentials = accounts.NO_CREDENTIALS
    key_check: accounts.KeyCheck = accounts.OPEN
    quota_token: quotas.Admitted | None = None

    @functools.cached_property
    def path_identity(self) -> str:
        """The first half of the request's identity."""
        return request_identity.path_identity(
            self.method, self.headers['Host'], self.path
        )

    @property
    def account(self) -> accounts.Account | None:
        """The client account that it is served for, if any."""
        return self.key_check.account

    @property
    def deadline_at(self) -> float:
        """When the request gets an error response if it has no other one."""
        return min(self.caller_deadline_at, self.stop_at)

    @property
    def may_have_run(self) -> bool:
        """Whether it was written to a target that has not refused it."""
        return len(self.sent_to) > self.refusals

    @property
    def ends_with_stop(self) -> bool:
        """Whether the gateway stops before the timeouts of the request end."""
        return self.stop_at < self.caller_deadline_at

    def can_end(self, now: float) -> bool:
        """Whether a target has time to answer it before the gateway stops.

        :param now: time of the event loop.
        """
        if math.isinf(self.stop_at):
            return True
        needed_s = self.response_times.needed_s(self.route.target_latency_s)
        return self.stop_at - now >= needed_s

    @property
    def attempts_left(self) -> int:
        """Number of targets that it may still be sent to."""
        return self.route.max_attempts - len(self.sent_to)


def identity_of(call: Call, body: 'RequestBody | None') -> str | None:
    """Return the identity of a request, None until its body is known."""
    if body is None:
        return request_identity.identity(call.path_identity, b'')
    if not body.has_whole_head:
        return None
    return request_identity.identity(call.path_identity, body.head)


def end_to_end_headers(
    received: multidict.MultiMapping[str], always: frozenset[str]
) -> multidict.CIMultiDict[str]:
    """Return the headers without those that are hop-by-hop.

    :param always: lower-case names that are end-to-end even if ``Connection``
        lists them.
    """
    listed: set[str] = set()
    if 'Connection' in received:
        listed = headers.connection_options(received) - always
    kept: multidict.CIMultiDict[str] = multidict.CIMultiDict()
    for name, value in received.items():
        lower = name.lower()
        if lower in headers.HOP_BY_HOP or lower == 'expect':
            continue
        if lower not in listed:
            kept.add(name, value)
    return kept


class RequestBody:
    """The body of a caller's request, streamed to a target.

    A body of at most ``MAX_KEPT_BODY_BYTES`` is kept, so that it can be sent
    again to another target.
    """

    def __init__(
        self, request: web.BaseRequest, limiter: limiter_types.CallerLimiter
    ):
        self.request = request
        self.limiter = limiter
        self.received_bytes = 0
        self.taken_bytes = 0
        self.streamed = False
        self.kept: list[bytes] | None = []
        self.kept_bytes = 0
        self.head = b''
        self.complete = False

    @property
    def can_restart(self) -> bool:
        """Whether the body can be streamed again from its start."""
        return self.kept is not None

    @property
    def has_whole_head(self) -> bool:
        """Whether ``head`` has all bytes that identify the body."""
        return (
            self.complete or len(self.head) >= request_identity.BODY_HEAD_BYTES
        )

    def begin(self) -> bool:
        """Take memory for the unread part; return whether there is some."""
        size_bytes = MAX_UNREAD_BYTES
        if self.request.content_length is not None:
            size_bytes = min(size_bytes, self.request.content_length)
        if not self.limiter.take_body(size_bytes):
            return False
        self.taken_bytes = size_bytes
        return True

    def end(self) -> None:
        """Give the memory back, once the request has ended."""
        self.limiter.bodies.give_back(self.taken_bytes)
        self.taken_bytes = 0
        self.kept = None

    async def read_head(self) -> None:
        """Read the bytes that identify the body, before it is streamed.

        :raises CallerBodyError: as :meth:`stream`.
        """
        while not self.has_whole_head:
            await self._read()

    async def stream(self):
        """Yield the body from its start.

        :raises OversizedBodyError: if it exceeds the limit in force.
        :raises CallerBodyError: if the body does not parse, or the caller
            closes the connection early.
        """
        self.streamed = True
        for chunk in tuple(self.kept or ()):
            yield chunk
        while chunk := await self._read():
            yield chunk

    async def _read(self) -> bytes:
        """Return the next bytes, none at the end of the body."""
        if self.complete:
            return b''
        try:
            chunk = await self.request.content.readany()
        except Exception as error:
            # The text of a parser's error quotes the request.
            raise errors.CallerBodyError(
                f'request body ended early: {type(error).__name__}'
            ) from None
        self.received_bytes += len(chunk)
        if self.received_bytes > self.limiter.limits.max_body_bytes:
            raise errors.OversizedBodyError('the request body is too large')
        # Known at the last bytes already, so that they identify a short body.
        self.complete = not chunk or self.request.content.at_eof()
        self._keep(chunk)
        return chunk

    def _keep(self, chunk: bytes) -> None:
        missing = request_identity.BODY_HEAD_BYTES - len(self.head)
        self.head += chunk[:missing]
        self.kept_bytes += len(chunk)
        if self.kept_bytes > MAX_KEPT_BODY_BYTES or not self._may_keep(chunk):
            self.kept = None
        if self.kept is not None and chunk:
            self.kept.append(chunk)

    def _may_keep(self, chunk: bytes) -> bool:
        """Take memory for a chunk; return whether there is some.

        Before the body is streamed its bytes must be kept. These fit into
        what was taken for the unread part.
        """
        if self.kept is None or not self.streamed:
            return True
        if not self.limiter.bodies.take(len(chunk)):
            return False
        self.taken_bytes += len(chunk)
        return True
