"""Positions of records in the form in which rollouts compare them."""

from dragonflyslip_core import feeds
from dragonflyslip_core import rollouts


def of_feed(position: feeds.Position) -> rollouts.Position:
    """Return a position of a feed."""
    return rollouts.Position(position.era, position.offset)


def of_record(record: feeds.FeedRecord) -> rollouts.Position:
    """Return the position of a record."""
    return of_feed(record.position)
