"""The state of one call at the entry."""

import dataclasses

from aiohttp import web
import multidict

from dragonflyslip_core import outcomes
from dragonflyslip_core import profiles
from dragonflyslip_core import suspects
from dragonflyslip_entry import headers

_IDEMPOTENT_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'})


@dataclasses.dataclass
class Call:
    """A call, and how far it has been handled.

    Times are seconds of the event loop's clock.

    :param path: path and query as received.
    :param idempotent: whether it may be sent more than once.
    :param at_most_once: whether the profile allows one run only.
    :param key: value of ``Idempotency-Key``, if any.
    :param first_attempt: whether the caller marked it as its first attempt.
    :param retried: whether the request arrived with ``Dragonflyslip-Retry``,
        which means that an earlier entry on the path has repeated it.
    :param from_entry: whether another entry forwarded the call.
    :param has_body: whether a body follows the headers.
    :param fingerprint: identifies the request in crash marks, which record
        the requests that were in flight when a target crashed; empty until
        it is needed or the start of the body has been read.
    :param sends: number of attempts written, hedges included.
    :param written: whether the call may have run: an attempt was written to
        a target, and the target did not report the call as not run.
    :param lost_attempt: whether a written attempt ended without a response.
    :param asks_no_retry: whether a failure response asks callers not to
        repeat the call.
    """

    service: str
    profile: profiles.Profile
    method: str
    path: str
    headers: multidict.CIMultiDict[str]
    arrived_at: float
    deadline_at: float
    idempotent: bool
    at_most_once: bool
    key: str | None
    first_attempt: bool
    retried: bool
    from_entry: bool
    has_body: bool
    expects_continue: bool
    content_length: int | None
    fingerprint: str = ''
    sends: int = 0
    written: bool = False
    lost_attempt: bool = False
    asks_no_retry: bool = False

    @classmethod
    def from_request(
        cls,
        request: web.BaseRequest,
        service: profiles.Service,
        profile: profiles.Profile,
        path: str,
        now: float,
        wall_time: float,
    ) -> 'Call':
        """Create the call for a caller's request.

        :param path: path and query of the request.
        :param now: loop time in seconds.
        :param wall_time: Unix time in seconds, to which the deadline in the
            request refers.
        """
        received = request.headers
        at_most_once = request.method in profile.at_most_once_methods
        return cls(
            service=service.name,
            profile=profile,
            method=request.method,
            path=path,
            headers=headers.forwarded_request_headers(
                received, request.remote
            ),
            arrived_at=now,
            deadline_at=now + _budget_s(received, profile, wall_time),
            idempotent=request.method in _IDEMPOTENT_METHODS
            and not at_most_once,
            at_most_once=at_most_once,
            key=received.get(headers.KEY_HEADER) if at_most_once else None,
            first_attempt=received.get(headers.ATTEMPT_HEADER) == '1',
            retried=headers.RETRY_HEADER in received,
            from_entry=headers.ENTRY_HEADER in received,
            has_body=request.body_exists,
            expects_continue=received.get('Expect', '').lower()
            == '100-continue',
            content_length=request.content_length,
        )

    def stream_fingerprint(self) -> suspects.StreamFingerprint:
        """Return a new fingerprint, to be updated with the body's chunks."""
        path, _, query = self.path.partition('?')
        return suspects.StreamFingerprint(
            self.service, self.method, path, query, self.content_length
        )

    def crash_fingerprint(self) -> str:
        """Return the fingerprint that identifies the request in crash marks.

        If it is not set yet, it is computed without the body.
        """
        if not self.fingerprint:
            self.fingerprint = self.stream_fingerprint().value()
        return self.fingerprint

    def refused_outcome(self) -> outcomes.Outcome:
        """Return the outcome to report if the call is refused now.

        It must not be used while the call holds a claim, since the state of
        the claim then decides the outcome.
        """
        if self.written:
            return outcomes.Outcome.UNKNOWN
        if self.key is None:
            return outcomes.Outcome.NOT_RUN
        return outcomes.keyed_outcome(self.first_attempt)


def _budget_s(
    received: multidict.MultiMapping[str],
    profile: profiles.Profile,
    wall_time: float,
) -> float:
    budget_s = profile.deadline_ms / 1000
    text = received.get(headers.DEADLINE_HEADER, '')
    if text.isascii() and text.isdigit():
        return min(budget_s, int(text) / 1000 - wall_time)
    return budget_s
