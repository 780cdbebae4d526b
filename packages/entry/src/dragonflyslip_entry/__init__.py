"""The entry daemon of dragonflyslip.

An entry is one instance of the load balancer: it accepts calls (HTTP
requests) from callers and forwards them to targets, the back ends.
"""

import typing

from dragonflyslip_entry.errors import EntryError
from dragonflyslip_entry.errors import SettingsError

if typing.TYPE_CHECKING:
    from dragonflyslip_entry.daemon import Entry
    from dragonflyslip_entry.settings import Settings


def __getattr__(name: str) -> typing.Any:
    # Imported on first use: a gateway starts faster without the modules
    # that these two need.
    if name == 'Entry':
        from dragonflyslip_entry import daemon

        return daemon.Entry
    if name == 'Settings':
        from dragonflyslip_entry import settings

        return settings.Settings
    raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
