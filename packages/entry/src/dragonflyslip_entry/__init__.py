"""The entry daemon of dragonflyslip."""

from dragonflyslip_entry.daemon import Entry
from dragonflyslip_entry.errors import EntryError
from dragonflyslip_entry.errors import SettingsError
from dragonflyslip_entry.settings import Settings
