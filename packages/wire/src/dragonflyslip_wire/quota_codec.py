"""Encoding of the messages between gateways and owners of quotas."""

from dragonflyslip_core import quotas
from dragonflyslip_wire import errors
from dragonflyslip_wire import fields


def write_ask(builder, message: quotas.QuotaAsk) -> None:
    """Write an ask to a builder of ``QuotaAsk``."""
    builder.shard = _check_shard(message.shard)
    builder.number = message.number
    builder.lease = message.lease
    items = builder.init('accounts', len(message.accounts))
    for item, account in zip(items, message.accounts, strict=True):
        item.account = fields.check_name(account.account, 'account')
        item.wanted = account.wanted
        item.returned = account.returned


def read_ask(reader) -> quotas.QuotaAsk:
    """Return the ask in a reader of ``QuotaAsk``."""
    return quotas.QuotaAsk(
        _check_shard(reader.shard),
        reader.number,
        reader.lease,
        tuple(
            quotas.AccountAsk(
                fields.check_name(item.account, 'account'),
                item.wanted,
                item.returned,
            )
            for item in reader.accounts
        ),
    )


def write_grant(builder, message: quotas.QuotaGrant) -> None:
    """Write a grant to a builder of ``QuotaGrant``."""
    builder.shard = _check_shard(message.shard)
    builder.number = message.number
    builder.lease = message.lease
    items = builder.init('accounts', len(message.accounts))
    for item, account in zip(items, message.accounts, strict=True):
        item.account = fields.check_name(account.account, 'account')
        item.granted = account.granted
        # Rounded up: 0 means that the account is not short.
        item.retryAfterMs = fields.to_ms(
            round(account.retry_after_s, 6), round_up=True
        )


def read_grant(reader) -> quotas.QuotaGrant:
    """Return the grant in a reader of ``QuotaGrant``."""
    return quotas.QuotaGrant(
        _check_shard(reader.shard),
        reader.number,
        reader.lease,
        tuple(
            quotas.AccountGrant(
                fields.check_name(item.account, 'account'),
                item.granted,
                item.retryAfterMs / 1000,
            )
            for item in reader.accounts
        ),
    )


def _check_shard(shard: int) -> int:
    if not 0 <= shard < quotas.SHARD_COUNT:
        raise errors.MessageError(f'shard {shard} does not exist')
    return shard
