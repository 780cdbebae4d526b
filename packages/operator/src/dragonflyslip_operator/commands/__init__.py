"""The commands, one module for each group of related commands."""

from dragonflyslip_operator.commands import audit
from dragonflyslip_operator.commands import explain
from dragonflyslip_operator.commands import in_service
from dragonflyslip_operator.commands import profiles
from dragonflyslip_operator.commands import rollouts
from dragonflyslip_operator.commands import services
from dragonflyslip_operator.commands import status
from dragonflyslip_operator.commands import suspects

# --help lists the commands in this order.
GROUPS = (
    profiles,
    services,
    in_service,
    status,
    rollouts,
    suspects,
    audit,
    explain,
)
