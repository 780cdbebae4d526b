"""Errors of the operator command and their exit codes."""

import collections.abc

from dragonflyslip_core import errors

# One line for each exit code, shown by --help and listed in
# docs/operators/commands.md.
EXIT_CODES: dict[int, str] = {
    0: 'done; a change was read back from the log as accepted',
    1: 'nothing changed: a service or an entry failed, or no such item',
    2: 'nothing changed: usage, a setting or the change is invalid',
    3: 'nothing changed: another change of the item was accepted first',
    4: 'the change is not in force on every listed entry within the timeout',
    5: 'uncertain: the change may or may not have been accepted',
    130: 'interrupted: a change that was being sent may take effect',
    141: 'the reader of stdout has gone: a published change stays accepted',
}


class OperatorError(errors.CoreError):
    """Base of the errors of this command."""


class SettingsError(errors.ValidationError):
    """Settings are missing or faulty; lists all of them."""


class InvalidChangeError(errors.ValidationError):
    """The change breaks a rule, so that entries would skip it."""


class NotFoundError(OperatorError):
    """The named item, or the version asked for, does not exist."""


class SourceError(OperatorError):
    """The log, the instance list or an entry could not be read."""


class RaceLostError(OperatorError):
    """Another change of the same item was accepted first.

    :param winner: one-line description of that change.
    """

    exit_code = 3

    def __init__(self, item: str, expected: int, winner: str):
        super().__init__(
            f'lost a race for {item}: the change expected version '
            f'{expected}, but this one was accepted first: {winner}'
        )
        self.winner = winner


class NotInForceError(OperatorError):
    """Some entries lack a change when the wait ends.

    :param lacking: entry names, each with the reason, such as
        ``through 12``.
    """

    exit_code = 4

    def __init__(
        self,
        offset: int,
        timeout_s: float,
        lacking: collections.abc.Sequence[tuple[str, str]],
        reason: str = '',
    ):
        named = ', '.join(f'{name} ({why})' for name, why in lacking)
        super().__init__(
            f'offset {offset} is not in force everywhere after '
            f'{timeout_s:g} s: {"; ".join(filter(None, (named, reason)))}'
        )
        self.lacking = tuple(lacking)


class UncertainError(OperatorError):
    """It is unknown whether the change was accepted."""

    exit_code = 5
