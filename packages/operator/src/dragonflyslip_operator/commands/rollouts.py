"""The command ``rollout status``, which shows rollouts from the store."""

import dataclasses
import typing

from dragonflyslip_core import feeds
from dragonflyslip_core import rollouts
from dragonflyslip_entry.gateway import adapters
from dragonflyslip_operator import context as contexts
from dragonflyslip_operator import parsing
from dragonflyslip_operator import rollout_records


def add_parsers(group: parsing.CommandGroup) -> None:
    """Add the command ``rollout status``."""
    rollout = group.add_group('rollout', 'inspect rollouts by version')
    rollout.add_read_command(
        'status',
        show_rollouts,
        'show the order, the last decision and the status of each rollout',
        '"order", service, version, duration in s, position; "decision", '
        'service, version, number, stage, share, s since the order, reason, '
        'evidence, decider, position of its order; "status", service, '
        'version, state',
        [
            '--adapter dragonflyslip_adapter --store-url http://10.0.0.5:8642',
            '--json',
        ],
        parsing.REQUIRES_STORE,
    )


async def show_rollouts(context: contexts.Context) -> None:
    """Print what the store holds about the rollout of each service."""
    settings = context.settings
    records = await rollout_records.read_rollouts(
        adapters.load_adapter(settings.adapter),
        settings.store_url,
        settings.timeout_s,
    )
    for key, reason in records.skipped:
        context.out.print_message(f'record {key!r} skipped: {reason}')
    documents = [
        {
            'service': service,
            'order': found.order and _describe_order(found.order),
            'decision': found.decision and _describe(found.decision),
            'status': found.status and _describe_status(found.status),
        }
        for service, found in sorted(records.services.items())
    ]
    context.out.print_data(
        documents,
        [
            (kind, document['service'], *document[kind].values())
            for document in documents
            for kind in ('order', 'decision', 'status')
            if document[kind] is not None
        ],
    )


def _describe_order(order: rollouts.RolloutOrder) -> dict[str, typing.Any]:
    return {
        'version': order.version,
        'duration_s': float(order.duration_s),
        'position': _format_position(order.position),
    }


def _describe(decision: rollouts.Decision) -> dict[str, typing.Any]:
    return {
        'version': decision.order.version,
        'number': decision.number,
        'stage': decision.stage.name.lower(),
        'share': decision.share,
        'since_order_s': round(decision.since_order_s, 2),
        'reason': str(decision.reason),
        'evidence': dataclasses.asdict(decision.figures),
        'decider': decision.decider,
        'order': _format_position(decision.order.position),
    }


def _describe_status(status: rollouts.RolloutStatus) -> dict[str, str]:
    return {'version': status.version, 'state': status.state.name.lower()}


def _format_position(position: feeds.Position) -> str:
    return f'{position.era}:{position.offset}'
