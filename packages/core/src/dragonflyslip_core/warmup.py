"""Warm-up of cold targets: one sending entry per target, and a ramp.

Each process of a target has a boot id, and a process that has just started
is cold. Requests go to a process only over connections that are known to
lead to it. Until it is warm, only one entry, the holder of the target, sends
requests to it, and the number of concurrent requests increases step by step.
"""

import collections
import dataclasses
import math
import typing

from returns import result

from dragonflyslip_core import blackboard
from dragonflyslip_core import errors
from dragonflyslip_core import membership
from dragonflyslip_core import profiles
from dragonflyslip_core import shares
from dragonflyslip_core import target_facts
from dragonflyslip_core import targets

_MAX_REMEMBERED_BOOT_IDS = 4
_MAX_FAILURE_RATIO = 0.1
"""Failed requests per successful one from which the ramp does not rise."""
_RECENT_CHANGE_S = 3.0
"""Time for which heartbeats prefer the facts of a target that changed."""


@dataclasses.dataclass(frozen=True)
class WarmupRules:
    """How targets of one profile are warmed up.

    :param slots: concurrent requests to a warm target.
    :param cold_concurrency: concurrent requests in the first step.
    :param warmup_s: seconds from the first request until the target is warm,
        if the first step allows one concurrent request.
    """

    slots: int
    cold_concurrency: int
    warmup_s: float

    @classmethod
    def from_profile(cls, profile: profiles.Profile) -> 'WarmupRules':
        """Return the rules of a profile."""
        return cls(profile.slots, profile.cold_concurrency, profile.warmup_s)

    @property
    def step_s(self) -> float:
        """Seconds after which the limit doubles.

        >>> WarmupRules(slots=6, cold_concurrency=1, warmup_s=9.0).step_s
        3.0
        """
        return self.warmup_s / max(1, math.ceil(math.log2(self.slots)))

    def limit(self, step: int) -> int:
        """Return the concurrent requests allowed in a step, counted from 0."""
        return min(self.slots, self.cold_concurrency << min(step, 32))


@dataclasses.dataclass(frozen=True)
class Permit:
    """Permission to write one request at once, before awaiting anything.

    :param boot_id: the process that the request goes to.
    :param epoch: number of processes of the target that this entry has seen,
        so that requests to an earlier process are not counted for this one.
    """

    target_id: str
    boot_id: str
    epoch: int


@dataclasses.dataclass
class _TargetRecord:
    """What this entry knows about the warm-up of one target.

    :param confirmed_at: a time after which the process with ``boot_id`` still
        ran, as shown by a report.
    :param suspected_at: since when the boot id is in doubt; None if it is
        not.
    :param reported_boot_id: a different boot id that a peer has reported and
        no report to this entry has confirmed or refuted yet.
    :param old_boot_ids: boot ids of earlier processes; facts about them are
        outdated.
    :param changed_at: when the facts about the target last changed.
    :param peer_level: concurrent requests that the holder's ramp allows,
        from its last fact.
    :param in_flight: requests of this entry whose end is awaited.
    :param unseen: upper bound of the requests that may still run at the
        target but whose end this entry will not see. In other
        modules, ``unseen`` requests are those in no load report yet.
    :param held_since: start of the agreement under which this entry holds
        the target; None if it does not.
    :param step: step of the ramp, from 0.
    """

    rules: WarmupRules
    failure_domain: str
    boot_id: str | None = None
    confirmed_at: float = float('-inf')
    reporting_warming: bool = False
    suspected_at: float | None = None
    reported_boot_id: str | None = None
    warm_boot_ids: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(
            maxlen=_MAX_REMEMBERED_BOOT_IDS
        )
    )
    old_boot_ids: collections.deque[str] = dataclasses.field(
        default_factory=lambda: collections.deque(
            maxlen=_MAX_REMEMBERED_BOOT_IDS
        )
    )
    changed_at: float = float('-inf')
    peer_level: int = 0
    in_flight: int = 0
    unseen: float = 0
    unseen_since: float = float('-inf')
    epoch: int = 0
    held_since: float | None = None
    step: int = 0
    step_started_at: float | None = None
    step_good: int = 0
    step_failed: int = 0

    @property
    def confirmed(self) -> bool:
        return self.boot_id is not None and self.suspected_at is None

    @property
    def warm(self) -> bool:
        return (
            self.boot_id in self.warm_boot_ids and not self.reporting_warming
        )

    def begin_ramp(self) -> None:
        self.step = 0
        self.step_started_at = None
        self.step_good = 0
        self.step_failed = 0


class WarmupController:
    """Decides whether a request may go to a target that may be cold.

    It alone sets ``boot_id``, ``suspected`` and ``warm_limit`` of the target
    states on the blackboard. ``board.membership`` must be set.
    """

    def __init__(self, board: blackboard.Blackboard):
        self.board = board
        self._records: dict[str, _TargetRecord] = {}
        self._notices: list[str] = []
        self._heartbeat_rounds = 0

    def add_target(self, target: targets.Target, rules: WarmupRules) -> None:
        """Add a target, cold if it is new, or update its rules."""
        record = self._records.get(target.instance_id)
        if record is None:
            self._records[target.instance_id] = _TargetRecord(
                rules, target.failure_domain
            )
        else:
            record.rules = rules
            record.failure_domain = target.failure_domain
        if target.instance_id not in self.board.targets:
            self.board.targets[target.instance_id] = targets.TargetState(
                target
            )
        self._publish(target.instance_id)

    def remove_target(self, target_id: str) -> None:
        """Remove a target; it is cold if it is added again."""
        self._records.pop(target_id, None)

    def observe_report(
        self,
        target_id: str,
        report: targets.LoadReport,
        sent_at: float,
        now: float,
    ) -> None:
        """Process a load report from a response or a probe.

        :param sent_at: when the request or the probe was written. The
            process with ``report.boot_id`` ran at some time after that.
        """
        record = self._records.get(target_id)
        if record is None:
            return
        if report.boot_id != record.boot_id:
            if sent_at < record.confirmed_at:
                # A connection leads to one process. This connection was open
                # before the current process was seen, so it led to an earlier
                # process, whose answer arrives late.
                record.old_boot_ids.append(report.boot_id)
                return
            self._begin_boot(record, report.boot_id, now)
            self._notices.append(target_id)
        record.confirmed_at = max(record.confirmed_at, sent_at)
        if record.suspected_at is not None and sent_at >= record.suspected_at:
            record.suspected_at = None
        if record.reported_boot_id is not None and record.suspected_at is None:
            if record.reported_boot_id != record.boot_id:
                record.old_boot_ids.append(record.reported_boot_id)
            record.reported_boot_id = None
        if sent_at >= record.unseen_since:
            record.unseen = min(record.unseen, report.in_flight)
        was_warming = record.reporting_warming
        record.reporting_warming = report.state is targets.ReportState.WARMING
        if record.reporting_warming and not was_warming:
            if report.boot_id in record.warm_boot_ids:
                record.warm_boot_ids.remove(report.boot_id)
                record.begin_ramp()
                record.changed_at = now
                # While it was warm, all entries sent requests to it.
                record.unseen = math.inf
                record.unseen_since = now
        self._publish(target_id)

    def observe_connection_lost(self, target_id: str, now: float) -> None:
        """Suspect a restart after a connection was reset, refused or closed.

        No new request is permitted until a report confirms the boot id.
        """
        record = self._records.get(target_id)
        if record is None:
            return
        record.suspected_at = now
        self._publish(target_id)

    def observe_fact(self, fact: target_facts.TargetFact, now: float) -> None:
        """Process a fact about a target from a peer."""
        record = self._records.get(fact.target_id)
        if record is None:
            return
        if fact.warm and fact.boot_id not in record.warm_boot_ids:
            record.warm_boot_ids.append(fact.boot_id)
            if fact.boot_id == record.boot_id:
                record.changed_at = now
        if fact.boot_id == record.boot_id:
            record.peer_level = fact.level or record.peer_level
        elif (
            fact.boot_id not in record.old_boot_ids
            and now - fact.age_s >= record.confirmed_at
        ):
            # Facts from different peers arrive in no common order, so only a
            # report to this entry sets the boot id. Until then, no request
            # is sent.
            record.reported_boot_id = fact.boot_id
            record.suspected_at = now
        self._publish(fact.target_id)

    def needs_probe(self, target_id: str, now: float) -> bool:
        """Return whether a probe is needed before requests can be sent."""
        record = self._records.get(target_id)
        if record is None:
            return False
        if not record.confirmed:
            return True
        if record.warm:
            return False
        agreement = self.board.membership.agreement(now)
        if not self._update_holder(target_id, record, agreement, now):
            return False
        limit = record.rules.limit(record.step)
        return record.in_flight == 0 and record.unseen >= limit

    def start(
        self, target_id: str, opened_at: float, now: float
    ) -> result.Result[Permit, errors.RoutingError]:
        """Obtain a permit to write one request to a target.

        The caller writes the request at once, before awaiting anything.

        :param opened_at: when the connection was opened. A connection opened
            after the boot id was last confirmed may lead to a newer process,
            so it cannot be used until another report arrives.
        :return: a permit for :meth:`finish`, or
            :exc:`~errors.RoutingError` of kind ``no-target`` (the target is
            unknown), ``unconfirmed`` (a probe is needed), ``cold`` (this
            entry does not hold the target) or ``cold-limit`` (a request must
            end first).
        """
        record = self._records.get(target_id)
        if record is None:
            return _refuse(target_id, 'is not listed', 'no-target')
        if not record.confirmed or opened_at > record.confirmed_at:
            return _refuse(
                target_id, 'has no confirmed boot id', 'unconfirmed'
            )
        if not record.warm:
            agreement = self.board.membership.agreement(now)
            if not self._update_holder(target_id, record, agreement, now):
                return _refuse(
                    target_id, 'is cold and not held by this entry', 'cold'
                )
            self._advance(target_id, record, now)
            self._publish(target_id)
        if not record.warm:
            limit = record.rules.limit(record.step)
            if record.in_flight + record.unseen >= limit:
                return _refuse(
                    target_id, 'is at its warm-up limit', 'cold-limit'
                )
            if record.step_started_at is None:
                record.step_started_at = now
        record.in_flight += 1
        return result.Success(
            Permit(target_id, str(record.boot_id), record.epoch)
        )

    def finish(
        self, permit: Permit, complete: bool, healthy: bool, now: float
    ) -> None:
        """Record the end of a request; call this once for each permit.

        :param complete: whether the whole response was read. Otherwise the
            request may still run, and counts until a report shows that the
            target has fewer in flight.
        :param healthy: False if the target failed or was too slow, but True
            if the client gave up the request.
        """
        record = self._records.get(permit.target_id)
        if record is None or permit.epoch != record.epoch:
            return
        record.in_flight -= 1
        if not complete:
            record.unseen += 1
            record.unseen_since = now
        if not healthy:
            record.step_failed += 1
        elif complete:
            record.step_good += 1
        if not record.warm:
            self._advance(permit.target_id, record, now)
            self._publish(permit.target_id)

    def refresh(self, now: float) -> None:
        """Update all target states.

        Call this every ``membership.MAX_CHECK_INTERVAL_S / 2``.
        """
        agreement = self.board.membership.agreement(now)
        for target_id, record in self._records.items():
            if not record.warm:
                self._update_holder(target_id, record, agreement, now)
            self._publish(target_id)

    def is_warm(self, target_id: str) -> bool:
        """Return whether a target is warm: all entries may send to it."""
        record = self._records.get(target_id)
        return record is not None and record.confirmed and record.warm

    def warm_capacity(self, failure_domain: str) -> int:
        """Return the concurrent requests that a domain's targets can take.

        A cold target counts with the current limit of its ramp, which this
        entry knows as the holder or from the holder's last fact.
        """
        capacity = 0
        for target_id, record in self._records.items():
            if record.failure_domain != failure_domain:
                continue
            if self.is_warm(target_id):
                capacity += record.rules.slots
            elif record.confirmed:
                capacity += self._ramp_limit(record) or record.peer_level
        return capacity

    def take_notices(self, now: float) -> list[target_facts.TargetFact]:
        """Return and clear the notices: facts to send to all peers at once."""
        pending = list(dict.fromkeys(self._notices))
        self._notices.clear()
        return self._facts(pending, now)

    def recent_facts(self, now: float) -> list[target_facts.TargetFact]:
        """Return the facts for a round of heartbeats, at most two.

        One is about a target that changed recently and one about any target,
        each in turn, so that a lost notice is repeated. More facts would
        exceed the budget of control traffic when a whole domain returns.
        """
        changed = [
            target_id
            for target_id, record in self._records.items()
            if now - record.changed_at <= _RECENT_CHANGE_S
        ]
        self._heartbeat_rounds += 1
        chosen = [
            target_ids[self._heartbeat_rounds % len(target_ids)]
            for target_ids in (changed, list(self._records))
            if target_ids
        ]
        return self._facts(dict.fromkeys(chosen), now)

    def all_facts(self, now: float) -> list[target_facts.TargetFact]:
        """Return the facts for a peer that has just connected."""
        return self._facts(list(self._records), now)

    def _facts(
        self, target_ids: typing.Iterable[str], now: float
    ) -> list[target_facts.TargetFact]:
        facts = []
        for target_id in target_ids:
            record = self._records.get(target_id)
            if record is None or record.boot_id is None:
                continue
            facts.append(
                target_facts.TargetFact(
                    target_id=target_id,
                    boot_id=record.boot_id,
                    warm=record.warm,
                    level=0 if record.warm else self._ramp_limit(record),
                    age_s=max(0.0, now - record.confirmed_at),
                )
            )
        return facts

    def _begin_boot(
        self, record: _TargetRecord, boot_id: str, now: float
    ) -> None:
        if record.boot_id is not None:
            record.old_boot_ids.append(record.boot_id)
        record.boot_id = boot_id
        record.changed_at = now
        record.reporting_warming = False
        record.peer_level = 0
        # Requests at the old process ended with it.
        record.epoch += 1
        record.in_flight = 0
        if record.held_since is not None:
            record.unseen = 0
        record.begin_ramp()

    def _update_holder(
        self,
        target_id: str,
        record: _TargetRecord,
        agreement: membership.Agreement,
        now: float,
    ) -> bool:
        # Returns whether this entry is the holder. If it has just become the
        # holder, this also begins a ramp.
        own = self.board.membership.own
        if not shares.is_holder(target_id, own, agreement, now):
            record.held_since = None
            return False
        if record.held_since != agreement.since:
            # Requests of the former holder may still run. Only a report that
            # was requested after this entry became the holder shows how
            # many.
            record.held_since = agreement.since
            record.unseen = math.inf
            record.unseen_since = now
            record.begin_ramp()
        return True

    def _advance(
        self, target_id: str, record: _TargetRecord, now: float
    ) -> None:
        if record.held_since is None or record.step_started_at is None:
            return
        if now - record.step_started_at < record.rules.step_s:
            return
        if record.step_failed < record.step_good * _MAX_FAILURE_RATIO:
            record.step += 1
            record.changed_at = now
        record.step_started_at = now
        record.step_good = 0
        record.step_failed = 0
        complete = record.rules.limit(record.step) >= record.rules.slots
        if complete and record.step and not record.reporting_warming:
            record.warm_boot_ids.append(str(record.boot_id))
            self._notices.append(target_id)

    def _ramp_limit(self, record: _TargetRecord) -> int:
        if record.held_since is None or math.isinf(record.unseen):
            return 0
        return record.rules.limit(record.step)

    def _publish(self, target_id: str) -> None:
        state = self.board.targets.get(target_id)
        record = self._records.get(target_id)
        if state is None or record is None:
            return
        state.boot_id = record.boot_id
        state.suspected = not record.confirmed
        if self.is_warm(target_id):
            state.warm_limit = None
        else:
            state.warm_limit = (
                self._ramp_limit(record) if record.confirmed else 0
            )


def _refuse(
    target_id: str, reason: str, kind: str
) -> result.Result[Permit, errors.RoutingError]:
    return result.Failure(
        errors.RoutingError(f'target {target_id} {reason}', kind)
    )
