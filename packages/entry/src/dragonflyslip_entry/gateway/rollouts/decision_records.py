"""Records of decisions in the feed in which the gateways register.

The key of a record holds the service.
"""

import typing

import msgspec

from dragonflyslip_core import feeds
from dragonflyslip_core import names
from dragonflyslip_core import rollouts

# Begins the keys of decisions; names of gateways do not contain a slash.
KEY_PREFIX = 'rollout/'

_Text = typing.Annotated[str, msgspec.Meta(max_length=names.MAX_TEXT_LENGTH)]
_Name = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=names.MAX_TEXT_LENGTH)
]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_Seconds = typing.Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class PositionRecord(msgspec.Struct, frozen=True):
    """Position of an order."""

    era: _Count
    offset: _Count

    @classmethod
    def from_position(cls, position: feeds.Position) -> typing.Self:
        """Return the record of a position."""
        return cls(position.era, position.offset)

    def to_position(self) -> feeds.Position:
        """Return the position."""
        return feeds.Position(self.era, self.offset)


class FiguresRecord(msgspec.Struct, frozen=True):
    """The evidence that decided; see :class:`rollouts.Figures`."""

    new_responses: _Count = 0
    new_failures: _Count = 0
    new_slow: _Count = 0
    control_responses: _Count = 0
    control_failures: _Count = 0
    control_slow: _Count = 0
    likelihood_log10: float = 0.0
    route: _Text = ''


class DecisionRecord(msgspec.Struct, frozen=True):
    """Value of a decision's record; see :class:`rollouts.Decision`.

    :param order: position of the order.
    :param share: largest share that the stage gives to the version.
    """

    order: PositionRecord
    version: _Name
    duration_s: _Seconds
    number: typing.Annotated[int, msgspec.Meta(ge=1, le=2**53)]
    stage: rollouts.Stage
    share: typing.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
    superseded: typing.Annotated[
        tuple[_Text, ...], msgspec.Meta(max_length=64)
    ]
    reason: rollouts.Reason
    figures: FiguresRecord
    decider: _Name
    since_order_s: _Seconds
    replaced: PositionRecord | None = None


_decode = msgspec.json.Decoder(DecisionRecord).decode


def is_decision(record: feeds.FeedRecord) -> bool:
    """Return whether a record of the feed is a decision, valid or not."""
    return record.key.startswith(KEY_PREFIX)


def encode_key(service: str) -> str:
    """Return the key of the decisions about a service."""
    return KEY_PREFIX + service


def encode(decision: rollouts.Decision) -> bytes:
    """Return the value of a decision's record."""
    replaced = decision.replaced
    return msgspec.json.encode(
        DecisionRecord(
            order=PositionRecord.from_position(decision.order.position),
            version=decision.order.version,
            # Settings and adapters use types of their own.
            duration_s=float(decision.order.duration_s),
            number=decision.number,
            stage=decision.stage,
            share=decision.share,
            superseded=decision.superseded,
            reason=decision.reason,
            figures=msgspec.convert(
                decision.figures, FiguresRecord, from_attributes=True
            ),
            decider=str(decision.decider),
            since_order_s=max(0.0, decision.since_order_s),
            replaced=(
                None
                if replaced is None
                else PositionRecord.from_position(replaced)
            ),
        )
    )


def decode(key: str, value: bytes) -> rollouts.Decision:
    """Return the decision that a record holds.

    :raises msgspec.DecodeError: if the value is malformed.
    :raises RecursionError: likewise.
    """
    record = _decode(value)
    return rollouts.Decision(
        order=rollouts.RolloutOrder(
            key.removeprefix(KEY_PREFIX),
            record.version,
            record.duration_s,
            record.order.to_position(),
        ),
        number=record.number,
        stage=record.stage,
        superseded=record.superseded,
        reason=record.reason,
        figures=msgspec.convert(
            record.figures, rollouts.Figures, from_attributes=True
        ),
        decider=record.decider,
        since_order_s=record.since_order_s,
        replaced=(
            None if record.replaced is None else record.replaced.to_position()
        ),
        share_limit=record.share,
    )
