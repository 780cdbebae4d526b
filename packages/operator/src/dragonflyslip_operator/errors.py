"""Errors of the operator command and their exit codes."""

import collections.abc

from dragonflyslip_core import errors

# The meaning of each exit code, shown by --help and listed in
# docs/operators/commands.md.
EXIT_CODES: dict[int, str] = {
    0: 'done; a change was read back from the log as accepted',
    1: 'nothing changed: a service or an entry failed, or no such item',
    2: 'nothing changed: usage, a setting or the change is invalid, or the '
    'store cannot be read',
    3: 'nothing changed: another change of the item was accepted first',
    4: 'the change is not in force on every listed entry within the timeout',
    5: 'uncertain: the change may or may not have been accepted',
    130: 'interrupted: a change that was being sent may take effect',
    141: 'the reader of stdout has gone: a published change stays accepted',
}


class OperatorError(errors.CoreError):
    """Base class of the errors of this command."""


class SettingsError(errors.ValidationError):
    """Settings are missing or invalid; lists all of them."""


class InvalidChangeError(errors.ValidationError):
    """The change breaks a validation rule; entries would ignore it."""


class NotFoundError(OperatorError):
    """The named item, or the requested version of it, does not exist."""


class SourceError(OperatorError):
    """The log, the instance list, an entry or a file is not accessible."""


class StoreError(OperatorError):
    """The store of the platform cannot be read."""

    exit_code = 2


class RaceLostError(OperatorError):
    """Another change of the same item was accepted first.

    :param item: kind and name of the item.
    :param expected: the version that the change was to replace.
    :param winner: one-line description of the accepted change.
    """

    exit_code = 3

    def __init__(self, item: str, expected: int, winner: str):
        super().__init__(
            f'lost a race for {item}: the change expected version '
            f'{expected}, but this one was accepted first: {winner}'
        )
        self.winner = winner


class NotInForceError(OperatorError):
    """A change was not in force on every entry within the timeout.

    :param offset: of the change.
    :param timeout_s: how long the command waited.
    :param pending: names of the entries that did not confirm the change,
        each with the reason, such as ``through 12``.
    :param reason: problem with the instance list; empty if there is none.
    """

    exit_code = 4

    def __init__(
        self,
        offset: int,
        timeout_s: float,
        pending: collections.abc.Sequence[tuple[str, str]],
        reason: str = '',
    ):
        entries = ', '.join(f'{name} ({problem})' for name, problem in pending)
        super().__init__(
            f'offset {offset} is not in force everywhere after '
            f'{timeout_s:g} s: {"; ".join(filter(None, (entries, reason)))}'
        )
        self.pending = tuple(pending)


class UncertainError(OperatorError):
    """It is unknown whether the change was accepted."""

    exit_code = 5
