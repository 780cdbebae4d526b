"""Waits until a change is in force on every entry."""

from returns import result

from dragonflyslip_operator import clock as clocks
from dragonflyslip_operator import entries
from dragonflyslip_operator import errors
from dragonflyslip_operator import output
import dragonflyslip_platform as platform

_POLL_INTERVAL_S = 0.5


async def wait_in_force(
    offset: int,
    instances: platform.InstanceList,
    admin: entries.EntryAdmin,
    clock: clocks.Clock,
    timeout_s: float,
    out: output.Output,
) -> result.Result[int, errors.NotInForceError]:
    """Wait until every listed entry has read the log through ``offset``.

    Each round reads the instance list and queries all listed entries. All
    of them must confirm the offset in the same round, so that the
    replacement of an entry that confirmed earlier is queried as well.

    :param offset: of the change, as reported when it was accepted.
    :param timeout_s: seconds to wait.
    :return: the number of entries.
    """
    deadline = clock.now() + timeout_s
    listed: tuple[platform.ListedInstance, ...] = ()
    while True:
        reason = ''
        match await entries.list_entries(instances):
            case result.Success(rows):
                listed = rows
                if not rows:
                    reason = 'the instance list shows no entry'
            case result.Failure(error):
                reason = error.format_message()
        states = await entries.read_states(admin, listed)
        pending = []
        for entry, answer in states:
            match answer:
                case result.Success(state) if state.through < offset:
                    problem = f'through {state.through}'
                    pending.append((entry.instance_id, problem))
                case result.Failure(error):
                    problem = error.format_message()
                    pending.append((entry.instance_id, problem))
        out.print_progress(
            f'offset {offset} is in force on '
            f'{len(listed) - len(pending)} of {len(listed)} entries'
            + (f'; {reason}' if reason else '')
        )
        if not pending and not reason:
            return result.Success(len(listed))
        if clock.now() >= deadline:
            return result.Failure(
                errors.NotInForceError(offset, timeout_s, pending, reason)
            )
        await clock.sleep(_POLL_INTERVAL_S)
