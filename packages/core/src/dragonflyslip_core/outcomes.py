"""Refusals and what they tell the caller about its request."""

import dataclasses
import enum

OUTCOME_HEADER = 'Dragonflyslip-Outcome'


class Outcome(enum.StrEnum):
    """Whether the request of a refused call was run by a target.

    ``NOT_RUN`` is used only if no attempt can have reached a target.
    """

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A refusal as the caller receives it.

    :param status: HTTP status code.
    :param outcome: whether the request was run.
    :param kind: stable name of the reason, last part of the problem type.
    :param detail: human-readable sentence.
    :param retry_after_s: seconds after which the caller may retry, if any.
    """

    status: int
    outcome: Outcome
    kind: str
    detail: str
    retry_after_s: int | None = None

    def problem(self) -> dict[str, object]:
        """Return the members of the RFC 9457 problem body."""
        return {
            'type': f'urn:dragonflyslip:problem:{self.kind}',
            'title': self.kind.replace('-', ' '),
            'status': self.status,
            'detail': self.detail,
            'outcome': self.outcome.value,
        }


def keyed_outcome(first_attempt: bool) -> Outcome:
    """Return the outcome of a keyed call refused before it held a claim.

    An earlier attempt through another entry may have run the call, so only a
    call that its caller marked as the first attempt is known not to have run.

    >>> keyed_outcome(first_attempt=False).value
    'unknown'
    """
    return Outcome.NOT_RUN if first_attempt else Outcome.UNKNOWN
