"""Parses gateway logs and selects the lines that explain a request.

A gateway is an entry that is configured by a platform's manifest, a versioned
record of all routes, services and limits.
"""

import collections.abc
import dataclasses
import datetime
import json
import typing

_TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
# An event counts as a possible cause if it is on the same gateway and at most
# this long before a line of the request.
MAX_EVENT_AGE_S = 10.0
# Another request that failed at the same target counts as related if its line
# is at most this long before or after a line of the request.
MAX_FAILURE_DISTANCE_S = 5.0
_GATEWAY_EVENTS = frozenset(
    {
        'gateway starts',
        'gateway drains',
        'gateway has stopped',
        'requests cut',
        'connections cut',
        'responses cut',
        'source lost',
        'source regained',
        'failure domain',
        'failure domain stays out in a new era',
        'older manifest ignored',
        'store has come back in a new era',
        'log lines dropped',
    }
)
_TARGET_EVENTS = frozenset(
    {'target registered', 'target gone', 'target registration lapsed'}
)
_MIN_FAILED_STATUS = 500


@dataclasses.dataclass(frozen=True)
class LogLine:
    """One line of a gateway's log.

    :param at: when the gateway wrote the line, by its clock, without a
        time zone.
    :param entry: name of the gateway, as in the field ``entry`` of the line.
    :param fields: the other members of the line.
    """

    at: datetime.datetime
    entry: str
    message: str
    fields: dict[str, typing.Any]

    @property
    def request(self) -> str | None:
        """Id of the request that the line names."""
        return self.fields.get('request')

    @property
    def targets(self) -> list[str]:
        """Ids of the targets that the line names."""
        named = self.fields.get('target')
        return [named] if named else list(self.fields.get('targets') or ())

    @property
    def failed(self) -> bool:
        """Whether the line reports a request that failed."""
        status = self.fields.get('status')
        return isinstance(status, int) and status >= _MIN_FAILED_STATUS


def parse_line(text: str) -> LogLine | None:
    """Return the parsed line, or None if the text is not a log line.

    >>> parse_line('no JSON') is None
    True
    """
    try:
        fields = json.loads(text)
        at = datetime.datetime.strptime(fields.pop('time'), _TIME_FORMAT)
        entry, message = fields.pop('entry'), fields.pop('message')
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    fields.pop('level', None)
    return LogLine(at, str(entry), str(message), fields)


def select_related_lines(
    lines: collections.abc.Sequence[LogLine], request: str
) -> list[LogLine]:
    """Return the lines that explain one request, in time order.

    These are the lines that name the request and, for each of them:

    - the manifest that was in force on the same gateway;
    - events on the same gateway in the :data:`MAX_EVENT_AGE_S` seconds
      before, such as a start, a lost source, a failure domain taken out of
      service, or a change in the registration of the request's targets;
    - other requests that failed at the same targets on any gateway, at most
      :data:`MAX_FAILURE_DISTANCE_S` seconds before or after.
    """
    own = [line for line in lines if line.request == request]
    related = {id(line): line for line in own}
    for line in own:
        related.update(
            (id(other), other)
            for other in lines
            if _is_preceding_event(other, line)
            or _failed_at_same_target(other, line)
        )
        manifest = _find_manifest(lines, line)
        if manifest is not None:
            related[id(manifest)] = manifest
    return sorted(related.values(), key=lambda line: line.at)


def _is_preceding_event(other: LogLine, line: LogLine) -> bool:
    age_s = (line.at - other.at).total_seconds()
    if other.entry != line.entry or not 0.0 <= age_s <= MAX_EVENT_AGE_S:
        return False
    if other.message in _GATEWAY_EVENTS:
        return True
    return other.message in _TARGET_EVENTS and bool(
        set(other.targets) & set(line.targets)
    )


def _failed_at_same_target(other: LogLine, line: LogLine) -> bool:
    distance_s = abs((line.at - other.at).total_seconds())
    return (
        other.failed
        and distance_s <= MAX_FAILURE_DISTANCE_S
        and bool(set(other.targets) & set(line.targets))
    )


def _find_manifest(
    lines: collections.abc.Sequence[LogLine], line: LogLine
) -> LogLine | None:
    known = [
        other
        for other in lines
        if other.entry == line.entry
        and other.message == 'manifest in force'
        and other.at <= line.at
    ]
    return max(known, key=lambda other: other.at, default=None)
