"""Messages between the entries of a fleet about rollouts."""

import dataclasses

from dragonflyslip_core import feeds
from dragonflyslip_core import rollouts
from dragonflyslip_wire import errors
from dragonflyslip_wire import fields

# A report names the routes and targets of one service. Their number is bounded
# so that a message with long names is refused and not sent without end.
MAX_NAMES = 4_096
MAX_CELLS = 16_384
MAX_MISSING = 4_096
_MAX_BUCKETS = 64
# Fields of a row before the counts of its buckets.
_ROW_FIELDS = 5


@dataclasses.dataclass(frozen=True)
class RolloutReport:
    """Counts of one entry in a rollout, from it or through a candidate.

    :param service: service of the rollout.
    :param sender: name of the entry that sends the message. It differs from
        the reporter if a candidate forwards the report.
    """

    service: str
    sender: str
    report: rollouts.CompactReport


@dataclasses.dataclass(frozen=True)
class MissingReports:
    """A process whose reports do not reach a candidate.

    :param incarnation: 0 if none is known.
    :param acknowledged: newest report from which nothing is missing.
    """

    reporter: str
    incarnation: int = 0
    acknowledged: int = 0


@dataclasses.dataclass(frozen=True)
class RolloutAdvice:
    """Response of a candidate to a :class:`RolloutReport`.

    :param missing: processes whose reports the recipient, another candidate,
        is asked to forward.
    """

    service: str
    advice: rollouts.Advice
    missing: tuple[MissingReports, ...] = ()


def write_report(builder, message: RolloutReport) -> None:
    """Write a message to a builder of ``RolloutReport``."""
    report = message.report
    builder.service = fields.check_name(message.service, 'service')
    builder.sender = fields.check_name(message.sender, 'sender')
    builder.reporter = fields.check_name(report.reporter, 'reporter')
    builder.incarnation = report.incarnation
    _write_position(builder.init('order'), report.order)
    builder.sequence = report.sequence
    builder.since = report.since
    builder.stage = int(report.stage)
    builder.unfinishedOld = report.unfinished_old
    builder.requests = report.requests
    _write_names(builder, 'routes', report.routes)
    _write_names(builder, 'targets', report.targets)
    rows = _check_length(report.rows, MAX_CELLS, 'cells')
    for item, row in zip(builder.init('cells', len(rows)), rows, strict=True):
        _write_row(item, row)


def read_report(reader) -> RolloutReport:
    """Return the message in a reader of ``RolloutReport``."""
    report = rollouts.CompactReport(
        reporter=fields.check_name(reader.reporter, 'reporter'),
        incarnation=reader.incarnation,
        order=_read_position(reader.order),
        sequence=reader.sequence,
        since=reader.since,
        stage=reader.stage,
        unfinished_old=reader.unfinishedOld,
        requests=reader.requests,
        routes=_read_names(reader.routes, 'routes'),
        targets=_read_names(reader.targets, 'targets'),
        rows=tuple(
            _read_row(item)
            for item in _check_length(reader.cells, MAX_CELLS, 'cells')
        ),
    )
    return RolloutReport(
        fields.check_name(reader.service, 'service'),
        fields.check_name(reader.sender, 'sender'),
        report,
    )


def write_advice(builder, message: RolloutAdvice) -> None:
    """Write a message to a builder of ``RolloutAdvice``."""
    advice = message.advice
    builder.service = fields.check_name(message.service, 'service')
    builder.candidate = fields.check_name(advice.candidate, 'candidate')
    _write_position(builder.init('order'), advice.order)
    builder.hold = advice.hold
    builder.acknowledged = advice.acknowledged
    missing = _check_length(message.missing, MAX_MISSING, 'missing reports')
    items = builder.init('missing', len(missing))
    for item, entry in zip(items, missing, strict=True):
        item.reporter = fields.check_name(entry.reporter, 'reporter')
        item.incarnation = entry.incarnation
        item.acknowledged = entry.acknowledged


def read_advice(reader) -> RolloutAdvice:
    """Return the message in a reader of ``RolloutAdvice``."""
    return RolloutAdvice(
        fields.check_name(reader.service, 'service'),
        rollouts.Advice(
            fields.check_name(reader.candidate, 'candidate'),
            _read_position(reader.order),
            reader.hold,
            reader.acknowledged,
        ),
        tuple(
            MissingReports(
                fields.check_name(item.reporter, 'reporter'),
                item.incarnation,
                item.acknowledged,
            )
            for item in _check_length(
                reader.missing, MAX_MISSING, 'missing reports'
            )
        ),
    )


def _write_position(builder, position: feeds.Position) -> None:
    builder.era = position.era
    builder.offset = position.offset


def _read_position(reader) -> feeds.Position:
    return feeds.Position(reader.era, reader.offset)


def _check_length(items, limit: int, what: str):
    if len(items) > limit:
        raise errors.MessageError(f'more than {limit} {what}')
    return items


def _write_names(builder, field: str, names: tuple[str, ...]) -> None:
    items = builder.init(field, len(_check_length(names, MAX_NAMES, field)))
    for number, name in enumerate(names):
        items[number] = fields.check_name(name, field)


def _read_names(items, what: str) -> tuple[str, ...]:
    return tuple(
        fields.check_name(name, what)
        for name in _check_length(items, MAX_NAMES, what)
    )


def _write_row(builder, row: tuple[int, ...]) -> None:
    if len(row) < _ROW_FIELDS:
        raise errors.MessageError('cell without counts')
    (
        builder.stage,
        builder.route,
        builder.target,
        builder.failures,
        builder.firstBucket,
    ) = row[:_ROW_FIELDS]
    builder.buckets = list(
        _check_length(row[_ROW_FIELDS:], _MAX_BUCKETS, 'buckets')
    )


def _read_row(reader) -> tuple[int, ...]:
    return (
        reader.stage,
        reader.route,
        reader.target,
        reader.failures,
        reader.firstBucket,
        *_check_length(reader.buckets, _MAX_BUCKETS, 'buckets'),
    )
