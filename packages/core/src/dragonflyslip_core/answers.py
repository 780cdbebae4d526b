"""Responses kept for repeated calls with the same idempotency key."""

import collections
import collections.abc
import dataclasses
import typing

MAX_BODY_BYTES = 65_536
# Objects that hold an answer, besides its header and body bytes.
_ENTRY_OVERHEAD_BYTES = 1_500


@dataclasses.dataclass(frozen=True)
class Answer:
    """A complete response of a target.

    :param headers: names and values in the order received.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def size(self) -> int:
        """Return the bytes that the store accounts for this answer."""
        headers = sum(len(name) + len(value) for name, value in self.headers)
        return _ENTRY_OVERHEAD_BYTES + headers + len(self.body)


Listener: typing.TypeAlias = collections.abc.Callable[[Answer | None], None]


@dataclasses.dataclass(eq=False)
class RunningCall:
    """A call that this entry is running.

    :param fingerprint: of the request.
    :param listeners: repeated calls that wait for the response.
    """

    fingerprint: bytes
    listeners: list[Listener] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class StoredAnswer:
    """An answer in the store.

    :param stored_at: monotonic seconds.
    """

    fingerprint: bytes
    answer: Answer
    stored_at: float


class Mismatch:
    """The key was used with another fingerprint; the call gets 422."""


_Id: typing.TypeAlias = tuple[str, bytes]


class AnswerStore:
    """Running calls and their answers, bounded by total bytes and age.

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
        self.running: dict[_Id, RunningCall] = {}
        self.stored: collections.OrderedDict[_Id, StoredAnswer] = (
            collections.OrderedDict()
        )

    def begin(self, service: str, key_hash: bytes, fingerprint: bytes) -> None:
        """Note that this entry starts to run a call.

        An answer stored earlier for the same key is dropped.

        :raises ValueError: if the call is running already.
        """
        if (service, key_hash) in self.running:
            raise ValueError('call is running already')
        self._drop((service, key_hash))
        self.running[service, key_hash] = RunningCall(fingerprint)

    def find(
        self, service: str, key_hash: bytes, fingerprint: bytes, now: float
    ) -> RunningCall | StoredAnswer | Mismatch | None:
        """Return what a repeated call finds.

        :return: the running call to join, the stored answer, a mismatch of
            fingerprints, or None if this entry knows nothing of the call.
        """
        self.expire(now)
        key = (service, key_hash)
        found = self.running.get(key) or self.stored.get(key)
        if found is not None and found.fingerprint != fingerprint:
            return Mismatch()
        return found

    def join(self, running: RunningCall, listener: Listener) -> bool:
        """Call ``listener`` with the response once the call ends.

        :param listener: gets None if there is no response to repeat.
        :return: False if too many calls wait already.
        """
        if len(running.listeners) >= self.max_listeners:
            return False
        running.listeners.append(listener)
        return True

    def finish(
        self, service: str, key_hash: bytes, answer: Answer | None, now: float
    ) -> None:
        """Note that a running call ended, and tell those that wait.

        :param answer: the complete response; None if there is none or its
            body is larger than ``MAX_BODY_BYTES``, in which case repeated
            calls get 409 with outcome ``unknown``.
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
        """Drop the oldest answers beyond the bounds of age and bytes."""
        while self.stored:
            key = next(iter(self.stored))
            oldest = self.stored[key]
            too_old = now - oldest.stored_at > self.max_age_s
            if not too_old and self.total_bytes <= self.max_bytes:
                break
            self._drop(key)

    def _drop(self, key: _Id) -> None:
        stored = self.stored.pop(key, None)
        if stored is not None:
            self.total_bytes -= stored.answer.size()
