"""Client accounts and the keys by which their requests are recognized.

A client account is a customer whose requests are served. Keys are compared by
their digests, and a key itself is not kept.
"""

from dragonflyslip_core.accounts.account import Account
from dragonflyslip_core.accounts.directory import AccountDirectory
from dragonflyslip_core.accounts.key_check import Access
from dragonflyslip_core.accounts.key_check import KeyCheck
from dragonflyslip_core.accounts.key_check import OPEN
from dragonflyslip_core.accounts.keys import Credentials
from dragonflyslip_core.accounts.keys import CredentialsState
from dragonflyslip_core.accounts.keys import is_well_formed
from dragonflyslip_core.accounts.keys import key_digest
from dragonflyslip_core.accounts.keys import MALFORMED_CREDENTIALS
from dragonflyslip_core.accounts.keys import MAX_KEY_LENGTH
from dragonflyslip_core.accounts.keys import NO_CREDENTIALS
