"""One call as the entry handles it."""

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
    """What the decisions need to know of a call.

    Times are seconds of the event loop's clock.

    :param path: path and query as received.
    :param idempotent: whether it may be sent more than once.
    :param at_most_once: whether the profile demands a single run.
    :param key: value of ``Idempotency-Key``, if any.
    :param first_attempt: whether the caller marked it as its first attempt.
    :param retried: whether an entry on the way has repeated it.
    :param passed_on: whether another entry has passed the call on.
    :param has_body: whether a body follows the headers.
    :param fingerprint: identifies the request among crash marks; empty
        until it is needed or its body has passed.
    :param sends: attempts that have been written, hedges included.
    :param written: whether an attempt has been written to a target that has
        not said that it did not run it.
    :param lost: whether such an attempt ended without a response.
    :param marks_response: whether a failure tells the layers above not to
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
    passed_on: bool
    has_body: bool
    expects_continue: bool
    content_length: int | None
    fingerprint: str = ''
    sends: int = 0
    written: bool = False
    lost: bool = False
    marks_response: bool = False

    @classmethod
    def from_request(
        cls,
        request: web.BaseRequest,
        service: profiles.Service,
        profile: profiles.Profile,
        path: str,
        now: float,
        wall: float,
    ) -> 'Call':
        """Return the call that a caller's request describes.

        :param now: loop time in seconds.
        :param wall: Unix time in seconds, for the caller's deadline.
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
            deadline_at=now + _budget_s(received, profile, wall),
            idempotent=request.method in _IDEMPOTENT_METHODS
            and not at_most_once,
            at_most_once=at_most_once,
            key=received.get(headers.KEY_HEADER) if at_most_once else None,
            first_attempt=received.get(headers.ATTEMPT_HEADER) == '1',
            retried=headers.RETRY_HEADER in received,
            passed_on=headers.ENTRY_HEADER in received,
            has_body=request.body_exists,
            expects_continue=received.get('Expect', '').lower()
            == '100-continue',
            content_length=request.content_length,
        )

    def stream_fingerprint(self) -> suspects.StreamFingerprint:
        """Return the fingerprint to feed with the body as it passes."""
        path, _, query = self.path.partition('?')
        return suspects.StreamFingerprint(
            self.service, self.method, path, query, self.content_length
        )

    def crash_fingerprint(self) -> str:
        """Return the fingerprint, worked out now if it has not been."""
        if not self.fingerprint:
            self.fingerprint = self.stream_fingerprint().value()
        return self.fingerprint

    def refused_outcome(self) -> outcomes.Outcome:
        """Return the outcome to tell while this call holds no claim."""
        if self.written:
            return outcomes.Outcome.UNKNOWN
        if self.key is None:
            return outcomes.Outcome.NOT_RUN
        return outcomes.keyed_outcome(self.first_attempt)


def _budget_s(
    received: multidict.MultiMapping[str],
    profile: profiles.Profile,
    wall: float,
) -> float:
    budget_s = profile.deadline_ms / 1000
    text = received.get(headers.DEADLINE_HEADER, '')
    if text.isascii() and text.isdigit():
        return min(budget_s, int(text) / 1000 - wall)
    return budget_s
