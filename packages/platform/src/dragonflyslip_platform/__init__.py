"""Clients of the log service and the instance list.

These two services are the platform meant in this package. The users' platform,
which has a store of its own, is another one: its adapter is in the directory
``platform`` of the repository.
"""

from dragonflyslip_platform.errors import BadResponseError
from dragonflyslip_platform.errors import OffsetExpiredError
from dragonflyslip_platform.errors import PlatformError
from dragonflyslip_platform.errors import RecordTooLargeError
from dragonflyslip_platform.errors import UnavailableError
from dragonflyslip_platform.errors import UncertainAppendError
from dragonflyslip_platform.instances import HttpInstanceList
from dragonflyslip_platform.instances import InstanceList
from dragonflyslip_platform.instances import ListedInstance
from dragonflyslip_platform.instances import MAX_LIST_BYTES
from dragonflyslip_platform.log import FIRST_OFFSET
from dragonflyslip_platform.log import HttpLogService
from dragonflyslip_platform.log import LogPage
from dragonflyslip_platform.log import LogRecord
from dragonflyslip_platform.log import LogService
from dragonflyslip_platform.log import MAX_PAGE_BYTES
from dragonflyslip_platform.log import MAX_RECORD_BYTES
from dragonflyslip_platform.log import READ_LIMIT
