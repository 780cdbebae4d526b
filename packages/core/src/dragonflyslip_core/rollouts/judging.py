"""Judges from the evidence of a rollout whether its version is bad.

Under the hypothesis that the version is no worse, the group of a request says
nothing about its response. Given the responses of a stage and route and how
many of them are bad, the bad ones then fall into the new group with the
probability q, the fraction of responses that are new. The judge compares this
with alternatives in which the odds are a multiple of it, and averages their
likelihood ratios. With a given q the average is a test martingale, which ever
exceeds 1/p with a probability of at most p; to take q from the counts makes it
smaller on average. So the judge may look as often as it likes, and no base
rate of bad responses needs to be known.
"""

import collections
import collections.abc
import dataclasses
import math

from dragonflyslip_core.rollouts import cells as cell_types
from dragonflyslip_core.rollouts import decisions
from dragonflyslip_core.rollouts import strata as strata_types

# Probability that a good version is ever judged bad by chance, from all counts
# of a rollout, and once more from its windows. The bounds are far from tight.
FALSE_ALARM = 0.0005
# Multiples of the odds that are tried. With more than 32, a version that has
# had few requests would be judged bad for two or three bad responses.
ODDS_MULTIPLES = (2.0, 4.0, 8.0, 16.0, 32.0)
# Required without the worst targets. A good version with one bad machine gets
# here by chance with a probability of at most 1 in 100.
TRIMMED_LIKELIHOOD = 100.0
# Fraction of the targets that is left out. In the last stage no control shows
# that a failure domain is at fault, so it is more than one domain of three.
WORST_FRACTION = 0.25
WORST_FRACTION_LAST = 0.4
MIN_TRIMMED_TARGETS = 3
# Smallest excess of the bad fraction that matters. Below it, differences
# between machines and loads are no fault of a version.
MIN_FAILURE_EXCESS = 0.02
MIN_SLOW_EXCESS = 0.08
# In the last stage the control is from earlier, so conditions may differ.
MIN_FAILURE_EXCESS_LAST = 0.05
# If the requests beyond the usual load are slow, they are a third of the
# responses only if there are half as many again as usual. So the two bounds
# together exclude that a version is judged bad for a burst in the last stage.
MIN_BURST_EXCESS = 1 / 3
MAX_LOAD_LAST = 1.5
# Responses of the version that show a fault of a fifth with a probability of
# 99 in 100: that many of 50 have at least 4 bad ones.
ENOUGH_RESPONSES = 50
# With fewer, a rollout watches the last stage for longer. At 20 requests a
# second, a rollout of 12 s gives a bad version no more than its bound allows.
ENOUGH_RESPONSES_AT_END = 100
# A suspect version waits for its next stage as long as the duration allows;
# about 1 good rollout in 100 waits.
SUSPECT_LIKELIHOOD = 20.0
SUSPECT_TRIMMED_LIKELIHOOD = 2.0
# A version that is still this likely to be bad after the wait gets no larger
# share at all, so it is rolled back when the time is over.
PROBABLE_LIKELIHOOD = 200.0
PROBABLE_TRIMMED_LIKELIHOOD = 10.0


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What the evidence says about a version.

    :param bad: whether it is bad.
    :param enough: whether the evidence suffices for a larger share.
    :param suspect: whether it may be bad.
    :param probably_bad: whether it must not get a larger share or succeed,
        even if the time is over.
    :param reason: why it is bad, None if it is not.
    :param responses: number of responses of the version.
    """

    bad: bool
    enough: bool
    suspect: bool
    probably_bad: bool
    reason: decisions.Reason | None
    figures: decisions.Figures
    responses: int = 0


NO_EVIDENCE = Verdict(False, False, False, False, None, decisions.Figures())


def judge(
    totals: cell_types.Cells,
    last_stage_load: float | None = None,
    window: int = 0,
) -> Verdict:
    """Judge a version.

    :param totals: counts of all entries.
    :param last_stage_load: requests a second around the last stage, divided
        by the usual number; None if unknown or before that stage. Without it,
        slow responses of the last stage do not count.
    :param window: number of the window that the counts are from, 0 if they
        are from the whole rollout.
    """
    # The sum of 1 / (n (n + 1)) is 1: all windows of a rollout together may
    # cause as many false alarms as the counts since the order.
    false_alarm = FALSE_ALARM / max(1, window * (window + 1))
    strata = strata_types.stratify(totals)
    tests = [
        test
        for kind in strata_types.Kind
        for test in _tests(kind, strata[kind], last_stage_load, false_alarm)
    ]
    strongest = max(tests, key=lambda test: test.likelihood)
    bad = next((test for test in tests if test.is_bad), None)
    shown = bad or strongest
    figures = _figures(strata, shown)
    suspect = any(
        test.reaches(SUSPECT_LIKELIHOOD, SUSPECT_TRIMMED_LIKELIHOOD)
        for test in tests
    )
    probably_bad = any(
        test.reaches(PROBABLE_LIKELIHOOD, PROBABLE_TRIMMED_LIKELIHOOD)
        for test in tests
    )
    responses = sum(
        s.all_new.total for s in strata[strata_types.Kind.FAILURES]
    )
    return Verdict(
        bad=bad is not None,
        enough=responses >= ENOUGH_RESPONSES and not suspect,
        suspect=suspect,
        probably_bad=probably_bad,
        reason=None if bad is None else bad.kind.value,
        figures=figures,
        responses=responses,
    )


def combine(overall: Verdict, recent: Verdict) -> Verdict:
    """Return the verdict from the whole rollout and its newest window."""
    shown = recent if recent.bad and not overall.bad else overall
    suspect = overall.suspect or recent.suspect
    return dataclasses.replace(
        shown,
        enough=overall.enough and not suspect,
        suspect=suspect,
        probably_bad=overall.probably_bad or recent.probably_bad,
        responses=overall.responses,
    )


@dataclasses.dataclass(frozen=True)
class _Test:
    """Result for one kind on one route, or on all (``route`` is '').

    :param likelihood: logarithm of the ratio with all targets.
    :param trimmed: logarithm of the ratio without the worst targets.
    :param threshold: ratio from which the version is bad.
    """

    kind: strata_types.Kind
    route: str
    likelihood: float
    trimmed: float
    threshold: float

    @property
    def is_bad(self) -> bool:
        return self.reaches(self.threshold, TRIMMED_LIKELIHOOD)

    def reaches(self, likelihood: float, trimmed: float) -> bool:
        """Return whether both likelihood ratios are high enough."""
        return self.likelihood >= math.log(
            likelihood
        ) and self.trimmed >= math.log(trimmed)


def _tests(
    kind: strata_types.Kind,
    strata: list[strata_types.Stratum],
    last_stage_load: float | None,
    false_alarm: float,
) -> list[_Test]:
    """Test all routes together and each route.

    Half of the false alarms of each kind are allowed to the test of all
    routes, and the other half is divided among the routes.
    """
    routes = sorted({stratum.route for stratum in strata})
    threshold = 2 * len(strata_types.Kind) / false_alarm
    tests = [_test(kind, '', strata, threshold, last_stage_load)]
    if len(routes) < 2:
        return tests
    threshold *= len(routes)
    for route in routes:
        own = [stratum for stratum in strata if stratum.route == route]
        tests.append(_test(kind, route, own, threshold, last_stage_load))
    return tests


def _test(
    kind: strata_types.Kind,
    route: str,
    strata: list[strata_types.Stratum],
    threshold: float,
    last_stage_load: float | None,
) -> _Test:
    last = [stratum for stratum in strata if stratum.is_last]
    used = strata
    if last and not _counts_in_last_stage(kind, last, last_stage_load):
        # Until the stage is in force everywhere, the new targets are loaded
        # more than the old ones. In a burst, 6 of 20 good versions were judged
        # bad for this, so no slow responses count then.
        is_slow = kind is strata_types.Kind.SLOW
        used = [s for s in strata if not s.is_last and not is_slow]
        last = []
    min_excess = (
        MIN_FAILURE_EXCESS
        if kind is strata_types.Kind.FAILURES
        else MIN_SLOW_EXCESS
    )
    likelihood = _log_likelihood(used, frozenset(), min_excess)
    trimmed = 0.0
    if likelihood >= math.log(SUSPECT_LIKELIHOOD):
        fraction = WORST_FRACTION_LAST if last else WORST_FRACTION
        left_out = _worst_targets(used, fraction)
        trimmed = _log_likelihood(used, left_out, min_excess)
    return _Test(kind, route, likelihood, trimmed, threshold)


def _counts_in_last_stage(
    kind: strata_types.Kind,
    strata: list[strata_types.Stratum],
    load: float | None,
) -> bool:
    """Return whether the last stage shows more than changed conditions."""
    is_usual_load = load is not None and load <= MAX_LOAD_LAST
    if kind is strata_types.Kind.SLOW:
        least = MIN_BURST_EXCESS if is_usual_load else math.inf
    else:
        least = MIN_FAILURE_EXCESS_LAST if is_usual_load else MIN_BURST_EXCESS
    return _excess(strata, frozenset()) >= least


def _worst_targets(
    strata: list[strata_types.Stratum], fraction: float
) -> frozenset[str]:
    """Return the targets whose bad responses exceed the control's most."""
    excess: collections.Counter[str] = collections.Counter()
    for stratum in strata:
        control = stratum.control
        usual = control.bad / control.total if control.total else 0.0
        for target, sample in stratum.targets.items():
            excess[target] += sample.bad - usual * sample.total
    if len(excess) < MIN_TRIMMED_TARGETS:
        return frozenset()
    count = max(1, int(fraction * len(excess)))
    return frozenset(target for target, _ in excess.most_common(count))


def _excess(
    strata: list[strata_types.Stratum], left_out: collections.abc.Set[str]
) -> float:
    """Return by how much the bad fraction exceeds that of the control."""
    bad = expected = total = 0.0
    for stratum in strata:
        new, control = stratum.new(left_out), stratum.control
        if control.total:
            bad += new.bad
            expected += new.total * control.bad / control.total
            total += new.total
    return (bad - expected) / total if total else 0.0


def _log_likelihood(
    strata: list[strata_types.Stratum],
    left_out: collections.abc.Set[str],
    min_excess: float,
) -> float:
    """Return the logarithm of the average likelihood ratio.

    It is 0 if the excess is too small to matter.
    """
    if _excess(strata, left_out) < min_excess:
        return 0.0
    logs = [0.0] * len(ODDS_MULTIPLES)
    for stratum in strata:
        new, control = stratum.new(left_out), stratum.control
        bad = new.bad + control.bad
        if not control.total or not bad:
            continue
        q = new.total / (new.total + control.total)
        for index, multiple in enumerate(ODDS_MULTIPLES):
            logs[index] += new.bad * math.log(multiple) - bad * math.log(
                1.0 + (multiple - 1.0) * q
            )
    highest = max(logs)
    mean = sum(math.exp(log - highest) for log in logs) / len(logs)
    return highest + math.log(mean)


def _figures(
    strata: dict[strata_types.Kind, list[strata_types.Stratum]], shown: _Test
) -> decisions.Figures:
    new: dict[strata_types.Kind, strata_types.Sample] = {}
    control: dict[strata_types.Kind, strata_types.Sample] = {}
    for kind in strata_types.Kind:
        chosen = [s for s in strata[kind] if shown.route in ('', s.route)]
        new[kind] = strata_types.total_of(s.all_new for s in chosen)
        control[kind] = strata_types.total_of(
            s.control for s in chosen if not s.is_last
        )
    return decisions.Figures(
        new_responses=new[strata_types.Kind.FAILURES].total,
        new_failures=new[strata_types.Kind.FAILURES].bad,
        new_slow=new[strata_types.Kind.SLOW].bad,
        control_responses=control[strata_types.Kind.FAILURES].total,
        control_failures=control[strata_types.Kind.FAILURES].bad,
        control_slow=control[strata_types.Kind.SLOW].bad,
        likelihood_log10=round(shown.likelihood / math.log(10.0), 2),
        route=shown.route,
    )
