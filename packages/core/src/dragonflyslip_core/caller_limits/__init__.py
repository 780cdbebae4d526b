"""Limits for the connections of callers and the memory that they use."""

from dragonflyslip_core.caller_limits.budgets import CallerBudget
from dragonflyslip_core.caller_limits.budgets import MemoryBudget
from dragonflyslip_core.caller_limits.closing import choose_closed
from dragonflyslip_core.caller_limits.closing import choose_stalled_body
from dragonflyslip_core.caller_limits.closing import ConnectionUse
from dragonflyslip_core.caller_limits.closing import Fault
from dragonflyslip_core.caller_limits.closing import find_fault
from dragonflyslip_core.caller_limits.lingering import Linger
from dragonflyslip_core.caller_limits.lingering import LingerEnd

__all__ = [
    'CallerBudget',
    'choose_closed',
    'choose_stalled_body',
    'ConnectionUse',
    'Fault',
    'find_fault',
    'Linger',
    'LingerEnd',
    'MemoryBudget',
]
