"""When a stopping instance closes connections and answers its requests."""

import asyncio
import collections.abc
import dataclasses
import typing

# Requests are not ended earlier than after this fraction of the stop timeout:
# a target that is at work may still respond.
FULL_SERVICE_FRACTION = 5 / 6
# A target may be cut off only on requests that were sent within 3 s of the
# signal, so later ones are not passed on. The rest of the 3 s allows for a
# signal that a busy process handles late.
MAX_FORWARD_S = 2.9
# With a short stop timeout, the requests that are passed on last still get
# the rest of it.
FORWARD_FRACTION = 3 / 4
# Time for sending the error responses of requests that get no other one.
ERROR_SEND_TIME_S = 0.3
# Fraction of the margin in which an instance may still wait for anything. The
# rest is for what has no bound: a signal that a busy process handles late, and
# the processor time of the end.
FINISH_FRACTION = 0.4


@dataclasses.dataclass(frozen=True)
class DrainSchedule:
    """The steps of a drain, in seconds of the event loop's clock.

    :param close_idle_at: the listener and unused connections are closed.
    :param forward_until: requests that arrive later are refused.
    :param answer_at: requests without a response get an error response.
    :param end_at: the requests that are left are cut.
    :param exit_at: nothing is waited for any more, and the process ends.
    """

    close_idle_at: float
    forward_until: float
    answer_at: float
    end_at: float
    exit_at: float

    @classmethod
    def from_timeout(
        cls,
        now: float,
        stop_timeout_s: float,
        accept_s: float,
        margin_s: float,
    ) -> typing.Self:
        """Return the schedule of a drain.

        :param now: when the process was told to stop.
        :param stop_timeout_s: time until the process is killed.
        :param accept_s: time in which new connections are still accepted.
        :param margin_s: time kept free before the process is killed.
        """
        end_at = now + stop_timeout_s - margin_s
        return cls(
            close_idle_at=now + min(accept_s, stop_timeout_s / 2),
            forward_until=now
            + min(MAX_FORWARD_S, FORWARD_FRACTION * stop_timeout_s),
            answer_at=max(
                now + FULL_SERVICE_FRACTION * stop_timeout_s,
                end_at - ERROR_SEND_TIME_S,
            ),
            end_at=end_at,
            exit_at=end_at + FINISH_FRACTION * margin_s,
        )


async def run_until(
    at: float, work: collections.abc.Coroutine[typing.Any, typing.Any, None]
) -> None:
    """Run a coroutine, and leave it unfinished at a given time.

    A timeout would cancel it and then wait until it has ended, which has no
    limit.

    :param at: seconds of the event loop's clock.
    """
    loop = asyncio.get_running_loop()
    task = loop.create_task(work)
    done, _ = await asyncio.wait([task], timeout=at - loop.time())
    if done:
        task.result()
    else:
        task.cancel()
