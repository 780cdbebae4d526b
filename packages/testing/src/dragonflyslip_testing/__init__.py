"""Fakes of the platform services and of targets, for tests and the demo."""

from dragonflyslip_testing.memory_instances import instances_application
from dragonflyslip_testing.memory_instances import MemoryInstances
from dragonflyslip_testing.memory_log import log_application
from dragonflyslip_testing.memory_log import LogFaults
from dragonflyslip_testing.memory_log import MemoryLog
