"""What reads that wait for a change show, and how long they wait."""

import itertools
import random

import pytest

from dragonflyslip_core import providers
from dragonflyslip_core import waiting_reads

SHORTEST_S = 0.3
LONGEST_S = 1.2
READS = 3
DURATION_S = 30.0


class TestCurrentAt:
    def test_silence_shows_nothing(self):
        # Guards against a copy that counts as current while the log is cut
        # off in silence.
        read = waiting_reads.WaitingRead(10.0, 11.2)
        for now in (10.1, 10.9, 11.5, 20.0):
            assert read.current_at(9.9, heard_at=9.9, now=now) == 9.9

    def test_response_to_another_read_shows_that_there_is_no_change(self):
        read = waiting_reads.WaitingRead(10.0, 11.2)
        assert read.current_at(9.9, heard_at=10.7, now=10.8) == 10.7

    def test_response_before_the_read_shows_nothing(self):
        # A change between the two would not be known.
        read = waiting_reads.WaitingRead(10.0, 11.2)
        assert read.current_at(9.5, heard_at=9.8, now=10.1) == 9.5

    def test_overdue_read_shows_nothing(self):
        # Guards against a lost response, while others arrive.
        read = waiting_reads.WaitingRead(10.0, 11.2)
        assert read.current_at(9.9, heard_at=11.9, now=12.0) == 9.9

    def test_response_of_another_era_shows_nothing(self):
        # Guards against a copy of a former era that counts as current while
        # the store does not end its read.
        read = waiting_reads.WaitingRead(10.0, 11.2, era=1)
        for era, current_at in ((1, 10.7), (2, 9.9)):
            known = read.current_at(9.9, heard_at=10.7, now=10.8, era=era)
            assert known == current_at


class TestChooseWait:
    def test_single_read_waits_longest(self):
        assert (
            waiting_reads.choose_wait_s(5.0, [], SHORTEST_S, LONGEST_S)
            == LONGEST_S
        )

    @pytest.mark.parametrize('seed', range(20))
    @pytest.mark.parametrize('changes', [0, 3, 10, 40])
    def test_responses_are_never_far_apart(self, seed, changes):
        # Guards against reads that all wait for the same moment: until it,
        # nothing shows that the log is still reached.
        generator = random.Random(seed)
        changed_at = sorted(
            generator.uniform(0.0, DURATION_S) for _ in range(changes)
        )
        due_at = [0.0] * READS
        heard = []
        while (now := min(due_at)) < DURATION_S:
            number = due_at.index(now)
            if changed_at and changed_at[0] <= now:
                # A change ends another read early.
                now = changed_at.pop(0)
                number = (number + 1) % READS
            others = [item for n, item in enumerate(due_at) if n != number]
            due_at[number] = now + waiting_reads.choose_wait_s(
                now, others, SHORTEST_S, LONGEST_S
            )
            heard.append(now)
        gaps = [b - a for a, b in itertools.pairwise(heard)]
        # Those that copy from this entry learn of each response a little
        # later, and must not take it for cut off meanwhile.
        assert max(gaps) <= providers.FRESH_S - 0.2
        # Without the spreading, a read has a request each LONGEST_S.
        assert len(heard) <= READS * DURATION_S / LONGEST_S * 1.1 + changes
