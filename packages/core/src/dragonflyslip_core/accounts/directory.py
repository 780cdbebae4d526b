"""The accounts of one manifest and the look-up of keys."""

import collections.abc

from dragonflyslip_core.accounts import account as account_types
from dragonflyslip_core.accounts import key_check
from dragonflyslip_core.accounts import keys

_REFUSALS = {
    keys.CredentialsState.MISSING: key_check.MISSING,
    keys.CredentialsState.MALFORMED: key_check.MALFORMED,
}


class AccountDirectory:
    """Finds the account of a key.

    A key that two accounts hold belongs to the first of them.

    :param accounts: in the order of the manifest.
    :ivar least_urgent_priority: priority of the least urgent account (highest
        number), 0 if none has a priority.
    """

    def __init__(
        self, accounts: collections.abc.Iterable[account_types.Account]
    ):
        self.accounts = tuple(accounts)
        self.least_urgent_priority = max(
            (account.priority or 0 for account in self.accounts), default=0
        )
        self._checks: dict[bytes, key_check.KeyCheck] = {}
        for account in self.accounts:
            found = key_check.KeyCheck(key_check.Access.ACCOUNT, account)
            for digest in account.key_digests:
                self._checks.setdefault(digest, found)

    def __repr__(self) -> str:
        return (
            f'AccountDirectory(accounts={len(self.accounts)}, '
            f'keys={len(self._checks)})'
        )

    def check(
        self, credentials: keys.Credentials, public: bool, confirmed: bool
    ) -> key_check.KeyCheck:
        """Return how a request with these credentials is treated.

        Costs one look-up of a digest, whatever the number of keys and whether
        the key is known.

        :param public: whether its route takes requests without a key.
        :param confirmed: whether the manifest is known to be recent enough.
        """
        if credentials.state is keys.CredentialsState.PRESENT:
            found = self._checks.get(credentials.digest, key_check.UNKNOWN)
        else:
            found = _REFUSALS[credentials.state]
        if public:
            usable = found.allowed and confirmed
            return found if usable else key_check.PUBLIC
        return found if confirmed else key_check.UNCONFIRMED
