"""Applies membership changes to fleet-wide limits and target warm-up."""

import asyncio

from dragonflyslip_core import blackboard
from dragonflyslip_core import freshness
from dragonflyslip_core import membership
from dragonflyslip_core import shares
from dragonflyslip_core import warmup
from dragonflyslip_entry import claim_controller
from dragonflyslip_entry import connections
from dragonflyslip_entry import logs
from dragonflyslip_entry import peer_controller
from dragonflyslip_entry import service_control

POLL_S = membership.MAX_CHECK_INTERVAL_S / 4


class FleetController:
    """Checks periodically whether the entries agree on their membership.

    The result sets this entry's share of the fleet-wide limits.

    :param append_rate: claim appends a second, all entries together.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        warmups: warmup.WarmupController,
        services: service_control.ServiceTable,
        pools: connections.ConnectionTable,
        claimer: claim_controller.ClaimController,
        peers: peer_controller.PeerController,
        append_rate: float,
    ):
        self.board = board
        self.warmups = warmups
        self.services = services
        self.pools = pools
        self.claimer = claimer
        self.peers = peers
        self.append_rate = append_rate
        self.share = -1.0
        self.agreed = False
        self.isolated = False
        self.loop = asyncio.get_running_loop()

    async def run(self) -> None:
        """Evaluate every ``POLL_S`` until cancelled."""
        while True:
            self.step(self.loop.time())
            await asyncio.sleep(POLL_S)

    def step(self, now: float) -> None:
        """Evaluate the membership once and apply the result.

        Fleet-wide limits are divided by ``last_divisor``, the number of
        entries when they last agreed on their membership.
        """
        agreement = self.board.membership.agreement(now)
        self._apply_share(
            shares.rate_share_of(
                1.0, agreement.last_divisor, agreement.agreed
            ),
            now,
        )
        self.warmups.refresh(now)
        self.peers.send_facts()
        self._log_changes(agreement.agreed, now)

    def may_serve(self, now: float) -> bool:
        """Return whether the configuration is current enough for new calls.

        If not, the entry is isolated: it refuses calls, since it may have
        missed configuration changes.
        """
        fresh = self.board.freshness
        if now - fresh.read_at < freshness.FRESH_S:
            return True
        return fresh.may_serve(now, self.board.membership.population(now))

    def _apply_share(self, share: float, now: float) -> None:
        if share == self.share:
            return
        self.share = share
        self.pools.set_share(share)
        self.services.set_share(share, now)
        self.claimer.set_rate(self.append_rate * share)

    def _log_changes(self, agreed: bool, now: float) -> None:
        if agreed != self.agreed:
            self.agreed = agreed
            logs.info(
                'entries agree on membership'
                if agreed
                else 'entries do not agree on membership'
            )
        isolated = not self.may_serve(now)
        if isolated != self.isolated:
            self.isolated = isolated
            logs.info(
                'entry is isolated' if isolated else 'entry is not isolated'
            )
