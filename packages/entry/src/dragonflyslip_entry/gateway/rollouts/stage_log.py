"""Log lines about the stages of rollouts."""

from dragonflyslip_core import rollouts
from dragonflyslip_entry import logs


def log_stage(decision: rollouts.Decision) -> None:
    """Log that a decision is in force, with the evidence that decided."""
    figures = decision.figures
    logs.info(
        'rollout stage in force',
        service=decision.order.service,
        version=decision.order.version,
        number=decision.number,
        stage=decision.stage.name.lower(),
        share=decision.share,
        reason=str(decision.reason),
        decider=decision.decider,
        since_order_s=round(decision.since_order_s, 2),
        new=f'{figures.new_failures}+{figures.new_slow}'
        f'/{figures.new_responses}',
        control=f'{figures.control_failures}+{figures.control_slow}'
        f'/{figures.control_responses}',
        likelihood_log10=round(figures.likelihood_log10, 2),
        route=figures.route,
        superseded=decision.superseded,
    )
