"""Facts about the processes of targets that entries exchange."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TargetFact:
    """What an entry reports to its peers about a target.

    :param boot_id: identity of the target's process, new at each start.
    :param warm: whether the target's warm-up is complete.
    :param level: concurrent requests that the sender's warm-up ramp allows;
        0 if the target is warm or the sender is not its holder. The holder
        is the only entry that sends requests to a target while it is cold.
    :param age_s: seconds since the sender last confirmed this boot id.
    """

    target_id: str
    boot_id: str
    warm: bool
    level: int
    age_s: float
