"""Store of responses, replayed to calls that repeat an idempotency key."""

import collections
import collections.abc
import dataclasses
import typing

MAX_BODY_BYTES = 65_536
# Memory for the objects of a stored answer, besides its headers and body.
_ANSWER_OVERHEAD_BYTES = 1_500


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete response from a target.

    :param headers: names and values in the order received.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def size(self) -> int:
        """Return the bytes that this answer counts for in the store."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return _ANSWER_OVERHEAD_BYTES + headers + len(self.body)


Listener: typing.TypeAlias = collections.abc.Callable[[Answer | None], None]


@dataclasses.dataclass(eq=False)
class RunningCall:
    """A call that this entry is running.

    :param fingerprint: of the request.
    :param listeners: callbacks of repeated calls that wait for the response.
    """

    fingerprint: bytes
    listeners: list[Listener] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class StoredAnswer:
    """An answer in the store.

    :param fingerprint: of the request.
    :param stored_at: monotonic seconds.
    """

    fingerprint: bytes
    answer: Answer
    stored_at: float


class Mismatch:
    """The key was used with another request; the call is refused with 422."""


_CallKey: typing.TypeAlias = tuple[str, bytes]


class AnswerStore:
    """Running calls and stored answers, bounded by total bytes and age.

    :param max_bytes: of all stored answers together.
    :param max_age_s: seconds that an answer is kept.
    :param max_listeners: repeated calls that may wait for one response.
    """

    def __init__(
        self,
        max_bytes: int = 67_108_864,
        max_age_s: float = 3_600.0,
        max_listeners: int = 16,
    ):
        self.max_bytes = max_bytes
        self.max_age_s = max_age_s
        self.max_listeners = max_listeners
        self.total_bytes = 0
        self.running: dict[_CallKey, RunningCall] = {}
        self.stored: collections.OrderedDict[_CallKey, StoredAnswer] = (
            collections.OrderedDict()
        )

    def begin(self, service: str, key_hash: bytes, fingerprint: bytes) -> None:
        """Register a call that this entry starts to run.

        An answer stored earlier for the same key is dropped.

        :raises ValueError: if a call with this key is already running.
        """
        if (service, key_hash) in self.running:
            raise ValueError('a call with this key is already running')
        self._drop((service, key_hash))
        self.running[service, key_hash] = RunningCall(fingerprint)

    def find(
        self, service: str, key_hash: bytes, fingerprint: bytes, now: float
    ) -> RunningCall | StoredAnswer | Mismatch | None:
        """Look up the idempotency key of a call.

        :param now: monotonic seconds.
        :return: the running call to join, the stored answer, a mismatch of
            fingerprints, or None if this entry has no record of the key.
        """
        self.expire(now)
        key = (service, key_hash)
        found = self.running.get(key) or self.stored.get(key)
        if found is not None and found.fingerprint != fingerprint:
            return Mismatch()
        return found

    def join(self, running: RunningCall, listener: Listener) -> bool:
        """Call ``listener`` with the response once the call ends.

        :param listener: gets None if there is no response to replay.
        :return: False if ``max_listeners`` calls already wait.
        """
        if len(running.listeners) >= self.max_listeners:
            return False
        running.listeners.append(listener)
        return True

    def finish(
        self, service: str, key_hash: bytes, answer: Answer | None, now: float
    ) -> None:
        """Record the end of a running call and notify its listeners.

        :param answer: the complete response; None if there is none or its
            body is larger than ``MAX_BODY_BYTES``, in which case repeated
            calls are refused with 409 and outcome ``unknown``.
        :param now: monotonic seconds.
        :raises KeyError: if the call is not running.
        """
        key = (service, key_hash)
        running = self.running.pop(key)
        if answer is not None and len(answer.body) > MAX_BODY_BYTES:
            answer = None
        if answer is not None and answer.size() <= self.max_bytes:
            self.stored[key] = StoredAnswer(running.fingerprint, answer, now)
            self.total_bytes += answer.size()
            self.expire(now)
        for listener in running.listeners:
            listener(answer)

    def expire(self, now: float) -> None:
        """Drop the oldest answers until the age and byte limits are met."""
        while self.stored:
            key = next(iter(self.stored))
            oldest = self.stored[key]
            too_old = now - oldest.stored_at > self.max_age_s
            if not too_old and self.total_bytes <= self.max_bytes:
                break
            self._drop(key)

    def _drop(self, key: _CallKey) -> None:
        stored = self.stored.pop(key, None)
        if stored is not None:
            self.total_bytes -= stored.answer.size()
