"""Quotas: rates of client accounts that all gateways keep together.

Each gateway owns an equal share of every quota and lends it to one owner of
the account's shard at a time. Times are seconds of a clock that counts
suspension.
"""

from dragonflyslip_core.quotas.bounds import QuotaBounds
from dragonflyslip_core.quotas.buckets import QuotaBucket
from dragonflyslip_core.quotas.fleet_size import RegisteredSize
from dragonflyslip_core.quotas.lender import ShardLender
from dragonflyslip_core.quotas.limiter import Admitted
from dragonflyslip_core.quotas.limiter import ASK_SPACING_S
from dragonflyslip_core.quotas.limiter import Limited
from dragonflyslip_core.quotas.limiter import OutgoingAsk
from dragonflyslip_core.quotas.limiter import QuotaLimiter
from dragonflyslip_core.quotas.limiter import Waiting
from dragonflyslip_core.quotas.messages import AccountAsk
from dragonflyslip_core.quotas.messages import AccountGrant
from dragonflyslip_core.quotas.messages import QuotaAsk
from dragonflyslip_core.quotas.messages import QuotaGrant
from dragonflyslip_core.quotas.owner import QuotaOwner
from dragonflyslip_core.quotas.shards import rank_owners
from dragonflyslip_core.quotas.shards import SHARD_COUNT
from dragonflyslip_core.quotas.shards import shard_of
from dragonflyslip_core.quotas.shards import ShardedAccounts
