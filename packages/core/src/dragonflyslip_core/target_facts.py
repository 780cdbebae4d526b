"""What entries tell each other of a target's process."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TargetFact:
    """What an entry tells its peers of a target.

    :param level: requests at once that the sender's ramp allows, 0 if it is
        not the holder or the target is warm.
    :param age_s: seconds since the sender last saw this boot id.
    """

    target_id: str
    boot_id: str
    warm: bool
    level: int
    age_s: float
