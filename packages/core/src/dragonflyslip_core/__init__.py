"""Decision logic of the load balancer dragonflyslip, without I/O.

The library coordinates the entries of a fleet. This module exports the public
names of most modules. Nothing in this package opens a socket or reads a clock;
callers pass in the current time.

An entry is one running process of the daemon or the gateway, and the fleet is
all entries. A target is a back end that runs requests, one in each of its
slots. Entries share state through a log, whose records have ascending offsets.

>>> from dragonflyslip_core import TokenBucket
>>> bucket = TokenBucket(rate=10.0, burst=1.0)
>>> bucket.take(1.0, now=0.0), bucket.take(1.0, now=0.1)
(False, True)
"""

import importlib
import typing

# Public names by module. A module is imported when one of its names is first
# used, so that a restarted gateway does not load the modules that it never
# uses and can serve requests sooner.
_NAMES_BY_MODULE = {
    'accounts': (
        'Access',
        'Account',
        'AccountDirectory',
        'Credentials',
        'CredentialsState',
        'KeyCheck',
    ),
    'admission': (
        'hedge_delay_s',
        'is_worth_sending',
        'AdmissionRequest',
        'retry_after_s',
        'RouteLoad',
    ),
    'answers': (
        'StoredResponse',
        'AnswerStore',
        'Mismatch',
        'RunningCall',
        'StoredAnswer',
    ),
    'blackboard': ('Blackboard',),
    'budgets': ('TokenBucket',),
    'changes': (
        'ConfigChange',
        'encode_change',
        'Kind',
        'parse_change',
    ),
    'checkpoints': (
        'adopt_snapshot',
        'bootstrap',
        'CheckpointSchedule',
        'load_checkpoint',
        'LogRecord',
        'make_checkpoint',
    ),
    'claim_batcher': (
        'Batch',
        'CallClaim',
        'ClaimBatcher',
        'ClaimState',
    ),
    'claim_batches': (
        'decode_batch',
        'encode_batch',
    ),
    'claims': (
        'apply_claim_record',
        'ClaimRecord',
        'ClaimTable',
        'ClaimVerdict',
        'Holder',
        'Key',
        'KeyClaims',
        'parse_key',
        'ReleaseRecord',
        'ReleaseSeen',
    ),
    'config': (
        'Applied',
        'apply_record',
        'AuditEntry',
        'check_change',
        'CheckpointHeader',
        'ConfigState',
        'Ignored',
        'IgnoredReason',
        'Item',
        'read_checkpoint_header',
        'Rejected',
        'Verdict',
    ),
    'connections': (
        'ConnectionsToClose',
        'ConnectionRules',
        'Open',
        'Reuse',
        'Wait',
    ),
    'default_policy': ('DefaultPolicy',),
    'directory': (
        'Directory',
        'RegisteredTarget',
        'Registration',
    ),
    'domains': (
        'DomainSplit',
        'in_service',
        'spare_capacity',
        'utilisation',
    ),
    'era_holds': ('EraHolds',),
    'errors': (
        'CoreError',
        'HeaderError',
        'KeyFormatError',
        'LogEndError',
        'LogEraError',
        'OlderEraError',
        'RecordError',
        'RoutingError',
        'ValidationError',
    ),
    'feeds': (
        'FeedCopy',
        'FeedPage',
        'FeedRecord',
        'Position',
        'ReadPage',
    ),
    'freshness': (
        'Freshness',
        'FreshnessState',
    ),
    'health': (
        'Answer',
        'HealthySelection',
        'LatencyMedian',
        'looks_healthy',
        'record_answer',
        'record_report',
        'record_sent',
        'select_healthy',
    ),
    'limits': (
        'AdaptiveLimit',
        'AdmissionDecision',
        'AdmissionQueue',
        'DEADLINE_HEADER',
        'parse_deadline',
        'ShedCall',
        'ShedReason',
        'WaitingCall',
    ),
    'manifest': (
        'CallerLimits',
        'Manifest',
        'Route',
        'RouteKind',
        'ServiceRules',
        'WeightedService',
    ),
    'membership': (
        'Agreement',
        'EntryId',
        'HEARTBEAT_S',
        'Member',
        'MemberReport',
        'Membership',
        'MembershipView',
        'view_digest',
    ),
    'models': (
        'InServiceModel',
        'LiftSuspectModel',
        'ProfileModel',
        'ServiceModel',
    ),
    'outcomes': (
        'keyed_outcome',
        'Outcome',
        'Refusal',
    ),
    'pacing': (
        'ColdPacer',
        'RepeatBudget',
    ),
    'placement': (
        'choose_target',
        'expected_work',
        'HealthReading',
        'LoadReading',
        'Option',
        'sample_targets',
        'TargetStanding',
    ),
    'probes': (
        'ProbeBudget',
        'ProbePool',
        'ProbeSchedule',
    ),
    'profiles': (
        'PRESETS',
        'Profile',
        'Service',
    ),
    'quotas': (
        'AccountAsk',
        'AccountGrant',
        'QuotaAsk',
        'QuotaBounds',
        'QuotaGrant',
        'QuotaLimiter',
        'QuotaOwner',
    ),
    'retries': (
        'CallProgress',
        'Denial',
        'HedgePolicy',
        'is_marked',
        'NoRepeat',
        'Repeat',
        'RETRY_HEADER',
        'RETRY_VALUE',
        'RetryBudget',
        'RetryPolicy',
    ),
    'rollouts': (
        'AdvisedShare',
        'CompactRolloutReport',
        'DecisionTable',
        'EvidenceTable',
        'FleetState',
        'HeldDecision',
        'judge_rollout',
        'KnownOrder',
        'OrderTable',
        'ReportCounter',
        'resolve_rollout',
        'Rollout',
        'rollout_candidates',
        'rollout_rank',
        'rollout_takeover_delay_s',
        'RolloutAdvice',
        'RolloutAssignment',
        'RolloutCellKey',
        'RolloutCounts',
        'RolloutDecider',
        'RolloutDecision',
        'RolloutFigures',
        'RolloutGroup',
        'RolloutOrder',
        'RolloutReason',
        'RolloutReport',
        'RolloutStage',
        'RolloutState',
        'RolloutStatus',
        'RolloutVerdict',
        'VersionedTarget',
        'VersionFilter',
    ),
    'routing': (
        'LeastInFlight',
        'PeakEwma',
        'Policy',
        'Probing',
        'RandomChoice',
        'RoundRobin',
        'TwoChoices',
    ),
    'shares': (
        'holder_of',
        'is_holder',
        'rate_share_of',
        'share_of',
        'share_with_remainder_of',
    ),
    'suspects': (
        'CrashMark',
        'key_fingerprint',
        'StreamFingerprint',
        'Suspect',
        'SuspectTable',
    ),
    'target_facts': ('TargetFact',),
    'targets': (
        'InstanceState',
        'LoadReport',
        'parse_load_header',
        'ReportState',
        'Target',
        'TargetState',
    ),
    'warmup': (
        'Permit',
        'WarmupController',
        'WarmupRules',
    ),
}
_MODULE_BY_NAME = {
    name: module
    for module, names in _NAMES_BY_MODULE.items()
    for name in names
}
# Names inside the modules, for public names that differ from them.
_INNER_NAMES = {
    'StoredResponse': 'Answer',
    'choose_target': 'choose',
    'sample_targets': 'sample',
    'CompactRolloutReport': 'CompactReport',
    'judge_rollout': 'judge',
    'resolve_rollout': 'resolve',
    'rollout_candidates': 'candidates_of',
    'rollout_rank': 'rank_of',
    'rollout_takeover_delay_s': 'takeover_delay_s',
    'RolloutAdvice': 'Advice',
    'RolloutAssignment': 'Assignment',
    'RolloutCellKey': 'CellKey',
    'RolloutCounts': 'Counts',
    'RolloutDecider': 'Decider',
    'RolloutDecision': 'Decision',
    'RolloutFigures': 'Figures',
    'RolloutGroup': 'Group',
    'RolloutReason': 'Reason',
    'RolloutReport': 'Report',
    'RolloutStage': 'Stage',
    'RolloutVerdict': 'Verdict',
}

__all__ = list(_MODULE_BY_NAME)


def __getattr__(name: str) -> typing.Any:
    module_name = _MODULE_BY_NAME.get(name)
    if module_name is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    module = importlib.import_module(f'{__name__}.{module_name}')
    return getattr(module, _INNER_NAMES.get(name, name))
