"""Checkpoints, which preserve the configuration beyond log retention."""

import collections
import collections.abc
import dataclasses
import json
import uuid

from returns import result

from dragonflyslip_core import config
from dragonflyslip_core import errors

# Each entry waits this much longer than the one before it in the sorted
# membership view, so that normally only one of them writes a checkpoint.
RANK_DELAY_S = 2.0
# Longer than it takes to append a checkpoint and read it back, so that an
# entry does not write the same checkpoint twice.
MIN_WRITE_INTERVAL_S = 30.0

_CHANGE_ID_NAMESPACE = uuid.UUID('5b0f5f9e-6a0b-5d7e-9d0c-0d3f3c1c7a11')


@dataclasses.dataclass(frozen=True, slots=True)
class LogRecord:
    """A record as read from the log.

    :param at_ms: time that the log assigned to the record, Unix ms.
    """

    offset: int
    at_ms: int
    data: bytes


def make_checkpoint(state: config.ConfigState) -> bytes:
    """Encode ``state`` as a checkpoint record.

    Equal states give equal bytes, regardless of which entry makes the
    record and when. Peers send the same bytes as a snapshot.
    """
    digest = state.digest()
    change_id = uuid.uuid5(_CHANGE_ID_NAMESPACE, digest)
    # Assembled from parts that are encoded already: encoding 2,600 items and
    # 16,384 change ids again blocked the event loop for 0.3 s. The members
    # are in sorted order, as in canonical JSON.
    return (
        b'{"at":0,"author":"checkpoint","body":{"digest":"%b","state":%b,'
        b'"through":%d},"change_id":"%b","expected_version":0,'
        b'"kind":"checkpoint","name":""}'
    ) % (
        digest.encode(),
        state.encode(),
        state.through,
        str(change_id).encode(),
    )


def load_checkpoint(
    record: bytes,
) -> result.Result[config.ConfigState, errors.RecordError]:
    """Decode the state in a checkpoint or a peer's snapshot.

    :return: the state, or an :exc:`~errors.RecordError` if the record is
        not a checkpoint or its digest does not match its content.
    """
    header = config.read_checkpoint_header(record)
    if header is None:
        return _failure('record is not a checkpoint')
    members = json.loads(record)['body'].get('state')
    if not isinstance(members, dict):
        return _failure('checkpoint has no state')
    loaded = config.ConfigState.from_members(members)
    if isinstance(loaded, result.Failure):
        return loaded
    state = loaded.unwrap()
    if state.through != header.through or state.digest() != header.digest:
        return _failure(
            'checkpoint content does not match its digest or offset'
        )
    return loaded


def _failure(message: str) -> result.Failure[errors.RecordError]:
    return result.Failure(errors.RecordError(message))


def bootstrap(
    first: int, records: collections.abc.Sequence[LogRecord]
) -> result.Result[config.ConfigState, errors.RecordError]:
    """Build the state of an entry that has none.

    It starts from the newest valid checkpoint that leaves no gap before
    ``first`` and applies all records after the offset that the checkpoint
    covers. Changes that are newer than a delayed or stale checkpoint
    therefore take precedence over it.

    :param first: first offset in the log when ``records`` were read.
    :param records: all records from ``first`` to the end, without gaps.
    :return: the state, or an :exc:`~errors.RecordError` if records expired
        before a checkpoint covered them; the instance then needs a peer's
        snapshot.
    """
    state = _find_start_state(first, records)
    if state is None:
        return _failure(
            f'no checkpoint covers the records before offset {first}'
        )
    for record in records:
        if record.offset > state.through:
            config.apply_record(state, record.offset, record.data)
    return result.Success(state)


def _find_start_state(
    first: int, records: collections.abc.Sequence[LogRecord]
) -> config.ConfigState | None:
    headers = [
        (header.through, record.data)
        for record in records
        for header in [config.read_checkpoint_header(record.data)]
        if header is not None and first - 1 <= header.through < record.offset
    ]
    for _, data in sorted(headers, key=lambda pair: pair[0], reverse=True):
        loaded = load_checkpoint(data)
        if isinstance(loaded, result.Success):
            return loaded.unwrap()
    return config.ConfigState() if first <= 1 else None


def adopt_snapshot(
    current: config.ConfigState | None, snapshot: bytes
) -> result.Result[config.ConfigState, errors.RecordError]:
    """Return the newer of the current state and a peer's snapshot.

    ``through`` never decreases: a snapshot that is not newer is ignored.

    :param snapshot: result of :func:`make_checkpoint` at the peer.
    :return: ``current`` itself or the snapshot's state, or an
        :exc:`~errors.RecordError` if the snapshot is invalid.
    """
    header = config.read_checkpoint_header(snapshot)
    if header is None:
        return _failure('snapshot is not a checkpoint')
    if current is not None and header.through <= current.through:
        return result.Success(current)
    return load_checkpoint(snapshot)


class CheckpointSchedule:
    """Decides when this entry writes a checkpoint.

    The age of the newest checkpoint counts from the oldest record that it
    does not cover, not from when it was written. A checkpoint that arrives
    in the log late is therefore as old as the first record that it lacks.

    :param retention_s: seconds that the log keeps records.
    """

    def __init__(self, retention_s: float):
        self.retention_s = retention_s
        self.newest_through = 0
        self._uncovered: collections.deque[tuple[int, float]] = (
            collections.deque()
        )
        self._next_write_at = float('-inf')

    def observe(
        self,
        offset: int,
        at_ms: int,
        header: config.CheckpointHeader | None,
    ) -> None:
        """Record that a record of ``config`` was read, in offset order.

        :param header: header of a checkpoint; None for any other record and
            for a checkpoint that does not match this entry's digest.
        """
        self._uncovered.append((offset, at_ms / 1000))
        if header is not None and self.newest_through < header.through:
            if header.through < offset:
                self._mark_covered(header.through)

    def record_snapshot(self, through: int, wall: float) -> None:
        """Record that the state came from a peer, not from the log.

        It is unknown whether the log has a checkpoint of this state, so one
        becomes due after this entry's rank delay: the state counts as a
        record of the age at which :meth:`is_due` asks for a checkpoint.

        :param through: offset through which the state is complete.
        :param wall: current time, Unix seconds.
        """
        self._mark_covered(through)
        self._uncovered.appendleft((through, wall - self.retention_s / 4))

    def _mark_covered(self, through: int) -> None:
        self.newest_through = through
        while self._uncovered and self._uncovered[0][0] <= through:
            self._uncovered.popleft()

    def is_due(self, wall: float, rank: int) -> bool:
        """Return whether this entry should write a checkpoint now.

        :param wall: current time, Unix seconds.
        :param rank: this entry's position in the sorted membership view.
        """
        if not self._uncovered or wall < self._next_write_at:
            return False
        age = wall - self._uncovered[0][1]
        return age > self.retention_s / 4 + rank * RANK_DELAY_S

    def record_write(self, wall: float) -> None:
        """Record that this entry appended a checkpoint at ``wall``."""
        self._next_write_at = wall + MIN_WRITE_INTERVAL_S
