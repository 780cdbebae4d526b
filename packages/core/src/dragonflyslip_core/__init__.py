"""Coordination library of dragonflyslip: decisions without I/O.

The public names of all modules are exported here. Nothing in this package
opens a socket or reads a clock; the present time is an argument.
"""

from dragonflyslip_core.blackboard import Blackboard
from dragonflyslip_core.budgets import TokenBucket
from dragonflyslip_core.errors import CoreError
from dragonflyslip_core.errors import HeaderError
from dragonflyslip_core.errors import KeyFormatError
from dragonflyslip_core.errors import RecordError
from dragonflyslip_core.errors import RoutingError
from dragonflyslip_core.errors import ValidationError
from dragonflyslip_core.models import InServiceModel
from dragonflyslip_core.models import LiftSuspectModel
from dragonflyslip_core.models import ProfileModel
from dragonflyslip_core.models import ServiceModel
from dragonflyslip_core.outcomes import keyed_outcome
from dragonflyslip_core.outcomes import Outcome
from dragonflyslip_core.outcomes import Refusal
from dragonflyslip_core.profiles import PRESETS
from dragonflyslip_core.profiles import Profile
from dragonflyslip_core.profiles import Service
from dragonflyslip_core.targets import InstanceState
from dragonflyslip_core.targets import LoadReport
from dragonflyslip_core.targets import parse_load_header
from dragonflyslip_core.targets import ReportState
from dragonflyslip_core.targets import Target
from dragonflyslip_core.targets import TargetState
