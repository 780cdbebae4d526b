"""Messages between gateways and owners of shards."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class AccountAsk:
    """What a gateway wants for one account.

    :param wanted: tokens.
    :param returned: unused tokens of the grant whose lease the ask names.
    """

    account: str
    wanted: int
    returned: int = 0


@dataclasses.dataclass(frozen=True)
class QuotaAsk:
    """Lends the sender's share of a shard, and asks for tokens.

    :param number: increases with each ask of the sender to this shard.
    :param lease: the lease of the owner's last grant, which shows that this
        ask is newer; 0 to end a lease, or to begin one.
    """

    shard: int
    number: int
    lease: int
    accounts: tuple[AccountAsk, ...] = ()


@dataclasses.dataclass(frozen=True)
class AccountGrant:
    """Tokens for one account.

    :param retry_after_s: seconds until the owner has a further token; 0
        unless fewer were granted than wanted.
    """

    account: str
    granted: int
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class QuotaGrant:
    """Reply of an owner to a :class:`QuotaAsk`.

    :param number: that of the ask.
    :param lease: states the time of the grant on the owner's clock.
    """

    shard: int
    number: int
    lease: int
    accounts: tuple[AccountGrant, ...] = ()
