"""Targets of a soak run."""

import re

import msgspec

import dragonflyslip_emulator as emulator
from dragonflyslip_emulator import versions

_WORK = re.compile(r'/\w+/work-(\d+)-ms/')


def path_of(kind: str, number: int, response_bytes: int, work_s: float) -> str:
    """Return the path of a request.

    :param work_s: service time in seconds; 0 for that of its target.
    """
    work = f'work-{round(work_s * 1000)}-ms/' if work_s else ''
    return f'/{kind}/{work}{number}?bytes={response_bytes}'


class SoakTarget(emulator.EmulatedTarget):
    """A target that works as long as the path of a request says."""

    def _shown_fault(self, path: str) -> versions.VersionFault:
        shown = super()._shown_fault(path)
        work = _WORK.match(path)
        if work is None:
            return shown
        slowdown = int(work[1]) / 1000 / self.work_s
        return msgspec.structs.replace(shown, slowdown=slowdown)
