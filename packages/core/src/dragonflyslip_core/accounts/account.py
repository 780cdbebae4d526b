"""One client account."""

import collections.abc
import dataclasses
import typing

from dragonflyslip_core.accounts import keys as key_types


@dataclasses.dataclass(frozen=True)
class Account:
    """A customer whose requests are served.

    :param key_digests: digests of its keys.
    :param priority: priority of its requests, where 0 is the most urgent;
        None for that of the route.
    :param rate_per_s: requests per second that it may send to all gateways
        together; 0 for no limit.
    :param burst: further requests that it may send at once.
    """

    name: str
    key_digests: tuple[bytes, ...] = dataclasses.field(repr=False)
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @classmethod
    def from_keys(
        cls,
        name: str,
        keys: collections.abc.Iterable[str],
        **fields: typing.Any,
    ) -> typing.Self:
        """Return an account that does not keep its keys.

        :param keys: well-formed keys.
        :param fields: further fields of the account.
        """
        digests = tuple(key_types.key_digest(key) for key in keys)
        return cls(name, digests, **fields)
