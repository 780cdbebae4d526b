"""What a candidate decides about a rollout, from the evidence that it holds.

All candidates decide alike; each waits longer than the one before it.
"""

import dataclasses

from dragonflyslip_core.rollouts import advice as advice_types
from dragonflyslip_core.rollouts import candidates
from dragonflyslip_core.rollouts import decisions
from dragonflyslip_core.rollouts import evidence as evidence_types
from dragonflyslip_core.rollouts import fleet as fleet_types
from dragonflyslip_core.rollouts import judging
from dragonflyslip_core.rollouts import load as load_types
from dragonflyslip_core.rollouts import orders
from dragonflyslip_core.rollouts import reports
from dragonflyslip_core.rollouts import rollout as rollout_types
from dragonflyslip_core.rollouts import stages
from dragonflyslip_core.rollouts import windows

# A verdict is computed at most once in this time, whatever the number of
# reports.
JUDGE_INTERVAL_S = 0.2
# Time after which a change that the store accepted is in force at every
# connected entry.
IN_FORCE_S = 2.5
# Time that the write of a status needs.
PUBLISHING_NEEDS_S = 0.3
# Fraction of the registered entries from which a candidate must hear in order
# to raise the share or to end a rollout as succeeded. A candidate that is cut
# off from the entries, but not from the store, leaves these to the next one.
MIN_HEARD_FRACTION = 0.5


@dataclasses.dataclass(frozen=True)
class Situation:
    """What a decision is made from.

    :param first_share_s: when the version first got requests, in seconds
        after the order.
    """

    rollout: rollout_types.Rollout
    verdict: judging.Verdict
    evidence: evidence_types.EvidenceTable
    fleet: fleet_types.FleetState
    first_share_s: float


@dataclasses.dataclass(frozen=True)
class Proposal:
    """The stage that should follow, and why."""

    stage: stages.Stage
    reason: decisions.Reason


def propose(situation: Situation, now: float) -> Proposal | None:
    """Return what is due in a rollout, None if nothing is.

    :param now: monotonic seconds.
    """
    rollout = situation.rollout
    if not rollout.is_running:
        return None
    if rollout.withdrawn:
        return _roll_back(decisions.Reason.WITHDRAWN)
    if situation.verdict.bad:
        return _roll_back(situation.verdict.reason)
    if rollout.stage is stages.Stage.LAST and _may_succeed(situation, now):
        return Proposal(stages.Stage.SUCCEEDED, decisions.Reason.CONFIRMED)
    if _is_time_over(rollout, now):
        if situation.fleet.new_targets == 0:
            return _roll_back(decisions.Reason.NO_TARGET)
        return _roll_back(decisions.Reason.NO_TIME)
    if rollout.stage is stages.Stage.HELD:
        return _propose_first(situation, now)
    if rollout.stage.is_partial and _hears_enough(situation, now):
        return _propose_larger(situation, now)
    return None


def _roll_back(reason: decisions.Reason) -> Proposal:
    return Proposal(stages.Stage.ROLLED_BACK, reason)


def _is_time_over(rollout: rollout_types.Rollout, now: float) -> bool:
    ends_s = stages.rollback_s(rollout.order.duration_s)
    return rollout.elapsed_s(now) >= ends_s


def _hears_enough(situation: Situation, now: float) -> bool:
    running = len(situation.fleet.running_entries)
    return situation.evidence.heard(now) >= MIN_HEARD_FRACTION * running


def _propose_first(situation: Situation, now: float) -> Proposal | None:
    rollout, fleet = situation.rollout, situation.fleet
    if not fleet.has_old and fleet.new_targets:
        return Proposal(stages.Stage.LAST, decisions.Reason.NO_OLD_TARGET)
    waits_s = stages.FIRST_STAGE_WAIT_FRACTION * rollout.order.duration_s
    may_begin = fleet.has_subset or rollout.elapsed_s(now) >= waits_s
    if may_begin and stages.has_capacity(
        stages.Stage.SHARE_8, fleet.new_slots, fleet.old_slots
    ):
        return Proposal(stages.Stage.SHARE_8, decisions.Reason.ORDERED)
    if rollout.decision is None:
        return Proposal(stages.Stage.HELD, decisions.Reason.ORDERED)
    return None


def _propose_larger(situation: Situation, now: float) -> Proposal | None:
    rollout, fleet = situation.rollout, situation.fleet
    verdict = situation.verdict
    duration_s = rollout.order.duration_s
    following = stages.Stage(rollout.stage + 1)
    elapsed_s = rollout.elapsed_s(now)
    entered_s = rollout.decision.since_order_s
    latest_s = stages.latest_end_s(rollout.stage, duration_s)
    if not stages.has_capacity(following, fleet.new_slots, fleet.old_slots):
        return None
    if elapsed_s < stages.earliest_end_s(rollout.stage, entered_s, duration_s):
        return None
    if verdict.probably_bad:
        return None
    if verdict.enough:
        return Proposal(following, decisions.Reason.ENOUGH_EVIDENCE)
    may_wait = elapsed_s < latest_s
    if may_wait and (verdict.suspect or _will_suffice(situation, now)):
        return None
    return Proposal(following, decisions.Reason.LITTLE_TRAFFIC)


def _will_suffice(situation: Situation, now: float) -> bool:
    """Return whether the traffic provides enough evidence in this stage."""
    rollout = situation.rollout
    start_s = situation.first_share_s
    latest_s = stages.latest_end_s(rollout.stage, rollout.order.duration_s)
    passed_s = rollout.elapsed_s(now) - start_s
    if passed_s <= 0.0:
        return False
    expected = situation.verdict.responses * (latest_s - start_s) / passed_s
    return expected >= judging.ENOUGH_RESPONSES


def _may_succeed(situation: Situation, now: float) -> bool:
    """Return whether all entries have left the old versions."""
    rollout, fleet = situation.rollout, situation.fleet
    evidence = situation.evidence
    entered_s = rollout.decision.since_order_s
    elapsed_s = rollout.elapsed_s(now)
    if elapsed_s < entered_s + stages.MIN_STAGE_S:
        return False
    if fleet.has_old and not _was_watched(situation, elapsed_s):
        return False
    if not _hears_enough(situation, now):
        return False
    # An entry that has not reported yet may just be unable to. Once it has the
    # stage, it sends no more requests to old targets.
    unheard = fleet.running_entries - evidence.reporters
    if unheard and elapsed_s < entered_s + IN_FORCE_S:
        if not _is_time_over(rollout, now):
            return False
    return not _unconfirmed(evidence, stages.Stage.LAST, fleet, now)


def _was_watched(situation: Situation, elapsed_s: float) -> bool:
    """Return whether the last stage has shown what it can show."""
    rollout, verdict = situation.rollout, situation.verdict
    duration_s = rollout.order.duration_s
    if verdict.probably_bad or elapsed_s < stages.earliest_end_s(
        stages.Stage.LAST, rollout.decision.since_order_s, duration_s
    ):
        return False
    if elapsed_s >= stages.latest_end_s(stages.Stage.LAST, duration_s):
        return True
    has_enough = verdict.responses >= judging.ENOUGH_RESPONSES_AT_END
    return has_enough and not verdict.suspect


def _unconfirmed(
    evidence: evidence_types.EvidenceTable,
    stage: stages.Stage,
    fleet: fleet_types.FleetState,
    now: float,
) -> list[str]:
    silence_s = fleet.longest_timeout_s + IN_FORCE_S
    return evidence.unconfirmed(stage, now, silence_s, fleet.gone)


class Decider:
    """Evidence and decisions of one candidate about one order.

    Times are monotonic seconds.

    :param name: name of this entry.
    :param order: the order; a later one needs another decider.
    :param exposure_share: share of all requests that a bad version may get.
    :ivar evidence: the merged reports.
    """

    def __init__(
        self,
        name: str,
        order: orders.RolloutOrder,
        exposure_share: float = stages.PLANNED_EXPOSURE_SHARE,
    ):
        self.name = name
        self.exposure_share = exposure_share
        self.evidence = evidence_types.EvidenceTable(order.position)
        self._loads = load_types.LoadHistory(order.duration_s)
        self._window = windows.EvidenceWindow()
        self._verdict = judging.NO_EVIDENCE
        self._judged_at = float('-inf')
        self._first_share_s: float | None = None
        self._due: tuple[int, Proposal] | None = None
        self._due_at = float('-inf')

    def receive(
        self,
        report: reports.Report,
        rollout: rollout_types.Rollout,
        now: float,
    ) -> advice_types.Advice:
        """Merge a report and return the advice to its sender."""
        self.evidence.merge(report, now)
        return advice_types.Advice(
            self.name,
            self.evidence.order,
            self.judge(rollout, now).bad,
            self.evidence.acknowledged(report.reporter, report.incarnation),
        )

    def judge(
        self, rollout: rollout_types.Rollout, now: float
    ) -> judging.Verdict:
        """Return the verdict; once bad, it stays so for this order."""
        self._observe(rollout, now)
        is_due = now - self._judged_at >= JUDGE_INTERVAL_S
        if is_due and not self._verdict.bad:
            self._judged_at = now
            self._verdict = self._judge(rollout, now)
        return self._verdict

    def _judge(
        self, rollout: rollout_types.Rollout, now: float
    ) -> judging.Verdict:
        totals = self.evidence.totals
        load = self._last_stage_load(rollout, now)
        verdict = judging.judge(totals, load)
        if not rollout.stage.is_partial:
            return verdict
        recent = self._window.counts(totals)
        if recent is None:
            return verdict
        number = self._window.number
        return judging.combine(verdict, judging.judge(recent, window=number))

    def next_decision(
        self,
        rollout: rollout_types.Rollout,
        fleet: fleet_types.FleetState,
        rank: int,
        now: float,
    ) -> decisions.Decision | None:
        """Return the decision that this entry should append now, if any.

        :param rank: rank of this entry among the candidates, from 0.
        """
        situation = Situation(
            rollout,
            self.judge(rollout, now),
            self.evidence,
            fleet,
            self._first_share_s or 0.0,
        )
        proposal = propose(situation, now)
        if proposal is None:
            self._due = None
            return None
        due = self._next_number(rollout), proposal
        if due != self._due:
            self._due, self._due_at = due, now
        if now - self._due_at < candidates.takeover_delay_s(rank):
            return None
        return self._make_decision(situation, proposal, now)

    def may_publish(
        self,
        rollout: rollout_types.Rollout,
        fleet: fleet_types.FleetState,
        now: float,
    ) -> bool:
        """Return whether the status of the decision may be published.

        Another candidate may have advised to hold just before a success was
        decided. So ``SUCCEEDED``, after which the old targets are stopped, is
        published once all entries that reported confirm it, but no later than
        the duration allows.
        """
        if rollout.decision is None:
            return False
        if rollout.stage is not stages.Stage.SUCCEEDED:
            return True
        latest_s = min(
            rollout.decision.since_order_s + IN_FORCE_S,
            rollout.order.duration_s - PUBLISHING_NEEDS_S,
        )
        return rollout.elapsed_s(now) >= latest_s or not _unconfirmed(
            self.evidence, stages.Stage.SUCCEEDED, fleet, now
        )

    def _next_number(self, rollout: rollout_types.Rollout) -> int:
        return 1 if rollout.decision is None else rollout.decision.number + 1

    def _make_decision(
        self, situation: Situation, proposal: Proposal, now: float
    ) -> decisions.Decision:
        rollout = situation.rollout
        superseded = list(rollout.superseded)
        if proposal.stage is stages.Stage.SUCCEEDED:
            superseded += situation.fleet.old_versions
        replaced = rollout.decision and rollout.decision.replaced
        if rollout.previous is not None:
            replaced = rollout.previous.order.position
        return decisions.Decision(
            rollout.order,
            self._next_number(rollout),
            proposal.stage,
            rollout_types.limit_superseded(superseded, rollout.order.version),
            proposal.reason,
            situation.verdict.figures,
            self.name,
            rollout.elapsed_s(now),
            replaced,
            stages.share_within(proposal.stage, self.exposure_share),
        )

    def _observe(self, rollout: rollout_types.Rollout, now: float) -> None:
        self._loads.record(rollout.elapsed_s(now), self.evidence.requests)
        if self._first_share_s is None and rollout.stage.is_partial:
            self._first_share_s = rollout.decision.since_order_s

    def _last_stage_load(
        self, rollout: rollout_types.Rollout, now: float
    ) -> float | None:
        """Return the load in the last stage, None before it."""
        if rollout.stage is not stages.Stage.LAST:
            return None
        return self._loads.relative_load(
            rollout.decision.since_order_s,
            rollout.elapsed_s(now),
            self.evidence.requests,
        )
