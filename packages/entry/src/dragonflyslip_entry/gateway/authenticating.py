"""Recognizes the client account of a request by its key."""

import collections.abc

import multidict

from dragonflyslip_core import accounts
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_entry.gateway import board as board_types
from dragonflyslip_entry.gateway import calls
from dragonflyslip_entry.gateway import error_responses

# Retry-After of requests whose key cannot be confirmed: another gateway may
# be connected.
UNCONFIRMED_RETRY_S = 0.25


class Authenticator:
    """Looks up keys in the manifest in force, and names their accounts.

    :param manifest_age_s: returns the seconds since the copy of the manifest
        was known to be that of the store, at a time of the event loop.
    :param strict_revoke: whether keys are refused if that age exceeds
        ``revoke_timeout_s``.
    """

    def __init__(
        self,
        board: board_types.GatewayBoard,
        dialect: adapters.Dialect,
        manifest_age_s: collections.abc.Callable[[float], float],
        strict_revoke: bool,
        revoke_timeout_s: float,
    ):
        self.board = board
        self.dialect = dialect
        self.manifest_age_s = manifest_age_s
        self.strict_revoke = strict_revoke
        self.revoke_timeout_s = revoke_timeout_s

    def check(
        self,
        route: manifest_types.Route,
        credentials: accounts.Credentials,
        now: float,
    ) -> accounts.KeyCheck:
        """Return how a request is treated by the manifest in force."""
        manifest = self.board.manifest
        confirmed = manifest.accounts is None or self._is_confirmed(now)
        return manifest.check_key(credentials, route, confirmed)

    def check_call(self, call: calls.Call, now: float) -> accounts.KeyCheck:
        """Look up the key of a call again, and keep the result in it."""
        call.key_check = self.check(call.route, call.credentials, now)
        return call.key_check

    def refusal(
        self, key_check: accounts.KeyCheck, route: manifest_types.Route
    ) -> error_responses.ErrorResponse | None:
        """Return the error response of a refused request, None if allowed."""
        if key_check.allowed:
            return None
        if key_check.access is accounts.Access.UNCONFIRMED:
            return error_responses.ErrorResponse(
                503, key_check.reason, UNCONFIRMED_RETRY_S, route=route.name
            )
        return error_responses.ErrorResponse(
            401,
            key_check.reason,
            challenge=self.dialect.key_challenge,
            route=route.name,
        )

    def target_headers(
        self, received: adapters.Headers, key_check: accounts.KeyCheck
    ) -> multidict.CIMultiDict[str]:
        """Return a copy of a call's headers with the name of its account.

        The private headers of the caller are left out. Targets may read
        underscores as hyphens, so names spelled with them are left out too.
        """
        if key_check.access is accounts.Access.OPEN:
            return multidict.CIMultiDict(received)
        private = self.dialect.private_headers
        kept: multidict.CIMultiDict[str] = multidict.CIMultiDict()
        for name, value in received.items():
            if name.lower().replace('_', '-') not in private:
                kept.add(name, value)
        if key_check.account is not None:
            self.dialect.add_account_header(kept, key_check.account.name)
        return kept

    def _is_confirmed(self, now: float) -> bool:
        return (
            not self.strict_revoke
            or self.manifest_age_s(now) <= self.revoke_timeout_s
        )
