"""Decision which requests of a soak run were lost."""

import pytest

import dragonflyslip_emulator as emulator
from tests.soak import history as history_types
from tests.soak import lost_requests

FaultKind = history_types.FaultKind
# The gateway gets SIGTERM at this time and is gone 6 s later.
STOP_AT = 100.0
GONE_AT = 106.0


def _attempt(**fields) -> history_types.CallerAttempt:
    values = {
        'request_id': 'r',
        'kind': 'unsafe',
        'method': 'POST',
        'path': '/',
        'body': b'',
        'gateway': 'gateway-0',
        'sent_at': 101.0,
        'written_at': 101.1,
        'finished_at': 104.0,
        'caller_timeout_s': 9.0,
        **fields,
    }
    return history_types.CallerAttempt(**values)


def _run(
    started_at=101.1, ended_at=103.0, finished=True, broke_off=False
) -> emulator.ExecutedRequest:
    return emulator.ExecutedRequest(
        'r',
        'POST',
        '/',
        b'',
        None,
        target_id='target-0',
        started_at=started_at,
        finished=finished,
        ended_at=ended_at,
        broke_off=broke_off,
    )


def _history(stopped=True) -> history_types.History:
    history = history_types.History()
    if stopped:
        history.terminations.append(
            history_types.Interval('gateway-0', STOP_AT, GONE_AT)
        )
    return history


def _find(attempt, runs, history=None) -> str:
    finder = lost_requests.LossFinder(history or _history())
    return finder.find_loss(attempt, runs)


class TestCutRequests:
    def test_executed_request_cut_by_a_stop_is_lost(self):
        assert 'SIGTERM' in _find(_attempt(), [_run()])

    def test_request_cut_before_the_stop_is_lost(self):
        attempt = _attempt(sent_at=99.0, written_at=99.1, finished_at=100.5)

        assert 'SIGTERM' in _find(attempt, [_run(99.1, 99.2)])

    def test_request_cut_quickly_is_lost_once_it_was_passed_on(self):
        assert _find(_attempt(finished_at=101.11), [_run(101.1, 101.105)])

    def test_unsent_request_that_waits_is_lost_when_it_is_cut(self):
        assert _find(_attempt(), [])

    def test_request_that_crosses_the_close_is_not_lost(self):
        assert not _find(_attempt(finished_at=101.25), [])

    @pytest.mark.parametrize(
        ('sent_at', 'finished_at', 'lost'),
        [(107.0, 107.6, False), (105.9, 107.6, True), (107.0, 108.1, True)],
    )
    def test_request_that_no_process_could_read_is_not_lost(
        self, sent_at, finished_at, lost
    ):
        """Guards against an excuse for what a process may have read."""
        history = _history()
        history.absences.append(
            history_types.Interval('gateway-0', GONE_AT, 108.0)
        )
        attempt = _attempt(
            sent_at=sent_at, written_at=sent_at, finished_at=finished_at
        )

        assert bool(_find(attempt, [], history)) is lost

    def test_request_whose_caller_closed_the_connection_is_not_lost(self):
        assert not _find(_attempt(given_up=True), [_run()])

    def test_request_that_was_not_written_whole_is_not_lost(self):
        assert not _find(_attempt(written_at=float('inf')), [])

    def test_request_that_a_target_ran_was_written_whole(self):
        assert _find(_attempt(written_at=float('inf')), [_run()])

    def test_answered_request_is_not_lost(self):
        assert not _find(_attempt(status=200, receipt='s'), [_run()])

    def test_cut_of_a_silent_target_is_lost_after_it_has_run(self):
        attempt = _attempt(finished_at=105.7)

        assert _find(attempt, [_run(ended_at=101.2)])

    def test_cut_after_sighup_is_lost(self):
        history = _history(stopped=False)
        history.reloads.append(
            history_types.Interval('gateway-0', 102.0, 102.0)
        )

        assert 'SIGHUP' in _find(_attempt(), [_run()], history)

    def test_cut_after_a_manifest_change_is_lost(self):
        history = _history(stopped=False)
        history.manifests.append(history_types.PublishedManifest(2, {}, 102.0))

        assert 'manifest change' in _find(_attempt(), [_run()], history)

    def test_cut_without_planned_work_is_lost(self):
        history = _history(stopped=False)

        assert 'no planned work' in _find(_attempt(), [_run()], history)

    def test_stop_of_another_gateway_is_not_named(self):
        attempt = _attempt(gateway='gateway-1')

        assert 'SIGTERM' not in _find(attempt, [_run()])


class TestReplacedAnswers:
    def test_own_answer_while_the_target_works_is_a_loss(self):
        run = _run(ended_at=104.0, finished=False)

        assert 'status 504' in _find(_attempt(status=504), [run])

    def test_own_answer_after_the_target_has_run_is_allowed(self):
        assert not _find(_attempt(status=504), [_run()])

    def test_own_answer_without_a_run_is_allowed(self):
        assert not _find(_attempt(status=503), [])

    def test_answer_of_another_target_is_allowed(self):
        run = _run(ended_at=104.0, finished=False)

        assert not _find(_attempt(status=200, receipt='s'), [run])

    def test_own_answer_outside_of_a_stop_is_allowed(self):
        run = _run(ended_at=104.0, finished=False)
        history = _history(stopped=False)

        assert not _find(_attempt(status=504), [run], history)


class TestExcuses:
    def test_timeout_was_reached(self):
        assert not _find(_attempt(caller_timeout_s=3.0), [_run()])
        assert not _find(_attempt(route_timeout_s=3.0), [_run()])

    def test_timeout_was_not_quite_reached(self):
        assert _find(_attempt(caller_timeout_s=3.1), [_run()])

    def test_target_broke_off(self):
        assert not _find(_attempt(), [_run(broke_off=True)])

    def test_target_worked_in_the_last_sixth(self):
        run = _run(ended_at=105.7, finished=False)

        assert not _find(_attempt(finished_at=105.7), [run])
        assert not _find(_attempt(finished_at=105.7, status=504), [run])

    def test_target_that_worked_was_cut_before_the_last_sixth(self):
        run = _run(ended_at=104.9, finished=False)

        assert _find(_attempt(finished_at=104.9), [run])
        assert _find(_attempt(finished_at=104.9, status=504), [run])

    def test_request_sent_late_in_a_stop_is_not_excused(self):
        attempt = _attempt(sent_at=103.1, written_at=103.1, finished_at=105.7)
        run = _run(103.2, 105.7, finished=False)

        assert _find(attempt, [run])

    def test_unplanned_fault_of_its_gateway(self):
        history = _history()
        history.fault_intervals.append(
            history_types.FaultInterval('gateway-0', 95.0, 98.5)
        )

        assert not _find(_attempt(), [_run()], history)

    def test_fault_that_ended_long_before(self):
        history = _history()
        history.fault_intervals.append(
            history_types.FaultInterval('gateway-0', 95.0, 97.5)
        )

        assert _find(_attempt(), [_run()], history)

    def test_planned_work_is_no_excuse(self):
        history = _history()
        history.fault_intervals.append(
            history_types.FaultInterval(
                'gateway-0', STOP_AT, GONE_AT, FaultKind.PLANNED
            )
        )

        assert _find(_attempt(), [_run()], history)

    def test_impaired_store_excuses_uploads_only(self):
        history = _history()
        history.fault_intervals.append(
            history_types.FaultInterval('', 99.0, 103.0, FaultKind.STORE)
        )

        assert _find(_attempt(), [_run()], history)
        assert not _find(_attempt(kind='upload'), [_run()], history)

    def test_impaired_connection_to_its_target(self):
        history = _history()
        history.target_fault_intervals.append(
            history_types.FaultInterval('target-0', 102.0, 102.0)
        )

        assert not _find(_attempt(), [_run()], history)

    def test_impaired_connection_to_another_target(self):
        history = _history()
        history.target_fault_intervals.append(
            history_types.FaultInterval('target-1', 102.0, 102.0)
        )

        assert _find(_attempt(), [_run()], history)
        assert not _find(_attempt(), [], history)
