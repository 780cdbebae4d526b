"""Targets, their load reports, and the state that an entry keeps of each."""

import dataclasses
import enum
import functools
import re

from returns import result

from dragonflyslip_core import errors

LOAD_HEADER = 'Dragonflyslip-Load'

_MEMBER = re.compile(
    r'^([a-z_]+)=(?:"([^"\\]{1,64})"|([A-Za-z0-9._-]{1,64}))$'
)
_MAX_HEADER_LENGTH = 512


class InstanceState(enum.StrEnum):
    """State of an instance in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'


class ReportState(enum.StrEnum):
    """State that a target reports about itself."""

    SERVING = 'serving'
    WARMING = 'warming'
    DRAINING = 'draining'


@dataclasses.dataclass(frozen=True)
class Target:
    """A target as listed by the platform."""

    instance_id: str
    service: str
    address: str
    port: int
    failure_domain: str
    state: InstanceState = InstanceState.LIVE


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load that a target reports, already outdated when it arrives.

    :param in_flight: requests running or queued at the target.
    :param slots: requests that the target runs at once; 0 if not reported.
    :param boot_id: identity of the target's process, new at each start.
    :param latency_ms: recent service time that the target measured, if
        reported.
    """

    in_flight: int
    slots: int
    boot_id: str
    state: ReportState = ReportState.SERVING
    latency_ms: float | None = None


# Consecutive responses of a target often carry the same header value.
@functools.lru_cache(maxsize=4096)
def parse_load_header(
    text: str,
) -> result.Result[LoadReport, errors.HeaderError]:
    """Parse the value of a ``Dragonflyslip-Load`` header.

    :param text: such as ``inflight=3, slots=6, boot="a1", state=serving``.
    :return: the report, or :exc:`~errors.HeaderError` if the value is too
        long, a member is malformed or out of range, or ``inflight`` or
        ``boot`` is missing. Unknown members are skipped.

    >>> parse_load_header('inflight=3, slots=6, boot="a1"').unwrap().in_flight
    3
    """
    if len(text) > _MAX_HEADER_LENGTH:
        return result.Failure(errors.HeaderError('load header is too long'))
    members: dict[str, str] = {}
    for part in text.split(','):
        match = _MEMBER.match(part.strip())
        if match is None:
            return result.Failure(
                errors.HeaderError(f'malformed load header member {part!r}')
            )
        members[match[1]] = match[2] if match[2] is not None else match[3]
    return _report_from_members(members)


def _report_from_members(
    members: dict[str, str],
) -> result.Result[LoadReport, errors.HeaderError]:
    try:
        in_flight = int(members['inflight'])
        slots = int(members.get('slots', '0'))
        latency = members.get('latency')
        report = LoadReport(
            in_flight=in_flight,
            slots=slots,
            boot_id=members['boot'],
            state=ReportState(members.get('state', 'serving')),
            latency_ms=None if latency is None else float(latency),
        )
    except (KeyError, ValueError) as error:
        return result.Failure(
            errors.HeaderError(f'invalid load header: {error}')
        )
    bad_latency = report.latency_ms is not None and not (
        0 <= report.latency_ms < float('inf')
    )
    if in_flight < 0 or slots < 0 or bad_latency:
        return result.Failure(
            errors.HeaderError('negative or infinite value in load header')
        )
    return result.Success(report)


@dataclasses.dataclass
class TargetState:
    """What this entry knows about one target.

    Times are monotonic seconds; latencies are milliseconds.

    :param own_in_flight: requests of this entry in flight at the target.
    :param boot_id: the target's process, as last confirmed by a report.
    :param warm_limit: concurrent requests that this entry may send to a
        target that is not warm; None if the target is warm.
    :param suspected: whether the target may have restarted, since its boot
        id is not confirmed or a connection to it was lost.
    """

    target: Target
    own_in_flight: int = 0
    report: LoadReport | None = None
    reported_at: float = float('-inf')
    latency_ewma_ms: float = 0.0
    latency_updated_at: float = float('-inf')
    failure_ewma: float = 0.0
    boot_id: str | None = None
    warm_limit: int | None = 0
    suspected: bool = False
    sent_total: int = 0
    failed_total: int = 0
