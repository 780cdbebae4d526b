"""Whether a request may be served, and for whom."""

import dataclasses
import enum

from dragonflyslip_core.accounts import account as account_types


class Access(enum.Enum):
    """How a request is treated because of its credentials.

    ``OPEN`` requests reach a service without accounts, whose credentials are
    headers like others. ``PUBLIC`` requests are served without an account.
    ``UNCONFIRMED`` ones may have a key that has been removed.
    """

    OPEN = 'open'
    ACCOUNT = 'account'
    PUBLIC = 'public'
    UNAUTHORIZED = 'unauthorized'
    UNCONFIRMED = 'unconfirmed'


@dataclasses.dataclass(frozen=True)
class KeyCheck:
    """The result of looking up a request's key.

    :param account: set for ``Access.ACCOUNT`` only.
    :param reason: stable name of why the request is refused, else empty.
    """

    access: Access
    account: account_types.Account | None = None
    reason: str = ''

    @property
    def allowed(self) -> bool:
        """Whether the request may be sent to a target."""
        return not self.reason

    @property
    def account_name(self) -> str | None:
        """Name of the account, None without one."""
        return None if self.account is None else self.account.name

    def is_same_caller(self, other: 'KeyCheck') -> bool:
        """Whether a target gets the same headers after both checks."""
        return (
            self.access is other.access
            and self.account_name == other.account_name
        )


OPEN = KeyCheck(Access.OPEN)
PUBLIC = KeyCheck(Access.PUBLIC)
MISSING = KeyCheck(Access.UNAUTHORIZED, reason='missing-key')
MALFORMED = KeyCheck(Access.UNAUTHORIZED, reason='malformed-key')
UNKNOWN = KeyCheck(Access.UNAUTHORIZED, reason='unknown-key')
UNCONFIRMED = KeyCheck(Access.UNCONFIRMED, reason='keys-unconfirmed')
