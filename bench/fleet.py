"""Cost of heartbeats, and load on cold targets under faults.

Run ``python -m bench.fleet``; it prints the tables of
``docs/measurements/fleet.md``. All random choices are seeded; CPU times vary
with the machine.
"""

import dataclasses
import statistics
import time
import typing

from dragonflyslip_core import membership
from dragonflyslip_core import shares
from dragonflyslip_core import target_facts
from dragonflyslip_core import warmup
from dragonflyslip_testing import fleet
import dragonflyslip_wire as wire

SEEDS = range(5)
ENTRIES = 17
RULES = warmup.WarmupRules(slots=6, cold_concurrency=1, warmup_s=10.0)
TARGETS = 8
HEADER_BYTES = 40
"""Bytes of IPv4 and TCP headers without options, for each segment."""
ROUNDS = 200


class IndependentController(warmup.WarmupController):
    """Lets every entry warm up every cold target.

    Normally only one entry, the holder, may send to a cold target.
    """

    def _update_holder(self, target_id, record, agreement, now):
        if record.held_since is None:
            record.held_since = now
            record.unseen = 0
        return True


def heartbeat(peers: int, facts: int) -> wire.Heartbeat:
    """Return a heartbeat of typical content.

    :param peers: number of peers that the entry sends heartbeats to; it
        only changes the sequence number.
    :param facts: number of targets whose state the heartbeat reports.
    """
    return wire.Heartbeat(
        member=membership.MemberReport(
            entry_id=membership.EntryId('entry-07', 0x9E3779B97F4A7C15),
            sequence=1_760_000_000_123 + peers,
            echo=1_760_000_000_045,
            view_digest=b'\x91\x8a\x33\x5c\x02\xd7\x60\xee',
            view_age_s=4321.0,
        ),
        config_through=123_456,
        config_digest=bytes(range(100, 116)),
        log_read_age_s=0.137,
        targets=tuple(
            target_facts.TargetFact(
                f'casebook-{n:02d}', f'b{n:07x}', True, 0, 0.21
            )
            for n in range(facts)
        ),
    )


@dataclasses.dataclass(frozen=True)
class HeartbeatCost:
    """Cost of heartbeats for one entry.

    :param size: bytes of one heartbeat.
    :param sent_per_s: bytes of the heartbeats sent to all peers per second.
    :param cpu_us: CPU time in microseconds per peer and round, see
        :func:`measure_heartbeats`.
    :param cpu_percent: CPU time for the heartbeats of all peers, as a
        percentage of one CPU.
    """

    peers: int
    size: int
    sent_per_s: float
    cpu_us: float
    cpu_percent: float


def measure_heartbeats(peers: int, facts: int) -> HeartbeatCost:
    """Measure the CPU time to encode, decode and apply heartbeats.

    A round is one heartbeat to each peer, one from each, and one evaluation
    of agreement.
    """
    template = heartbeat(peers, facts)
    entry = membership.Membership(template.member.entry_id, 1.76e9)
    names = [f'entry-{n:03d}' for n in range(100, 100 + peers)]
    entry.observe_list([*names, 'entry-07'], 0.0)
    decoder = wire.FrameDecoder()
    now, size = 0.0, 0
    started = time.process_time()
    for number in range(ROUNDS):
        now += membership.HEARTBEAT_S
        report = entry.next_report(now)
        for name in names:
            member = dataclasses.replace(report, echo=entry.echo_for(name))
            sent = dataclasses.replace(template, member=member)
            size = len(wire.encode_frame(sent))
        for position, name in enumerate(names):
            member = dataclasses.replace(
                report,
                entry_id=membership.EntryId(name, 2**63 + position),
                sequence=1_760_000_000_000 + number,
                echo=entry.sequence,
                view_age_s=9.0,
            )
            # This encoding is the peer's work, but the time includes it.
            frame = wire.encode_frame(
                dataclasses.replace(template, member=member)
            )
            for received in decoder.feed(frame):
                entry.observe_heartbeat(received.member, now)
        entry.agreement(now)
    elapsed = time.process_time() - started
    per_heartbeat = elapsed / (ROUNDS * peers)
    return HeartbeatCost(
        peers=peers,
        size=size,
        sent_per_s=size * peers / membership.HEARTBEAT_S,
        cpu_us=per_heartbeat * 1e6,
        cpu_percent=100 * per_heartbeat * peers / membership.HEARTBEAT_S,
    )


def _all_cold(sim: fleet.SimFleet) -> None:
    sim.run(30.0)


def _diverging_views(sim: fleet.SimFleet) -> None:
    sim.run(8.0)
    names = [entry.entry_id.name for entry in sim.entries]
    for _ in range(12):
        sim.blocked_links.add(frozenset(sim.rng.sample(names, 2)))
    for target in sim.targets.values():
        sim.restart_target(target)
    sim.run(15.0)
    sim.blocked_links.clear()
    sim.loss_rate = 0.3
    sim.run(15.0)


def _entries_paused(sim: fleet.SimFleet) -> None:
    sim.set_warm()
    sim.run(8.0)
    for target in sim.targets.values():
        sim.restart_target(target)
    for _ in range(8):
        for entry in sim.rng.sample(sim.running_entries(), 4):
            sim.pause_entry(entry, sim.rng.choice([1.5, 4.0, 8.0]))
        sim.run(4.0)


def _entries_replaced(sim: fleet.SimFleet) -> None:
    sim.set_warm()
    sim.run(8.0)
    for target in sim.targets.values():
        sim.restart_target(target)
    for _ in range(6):
        entry = sim.rng.choice(sim.running_entries())
        sim.kill_entry(entry)
        sim.start_entry(entry.entry_id.name)
        sim.run(5.0)


def _targets_restart_twice(sim: fleet.SimFleet) -> None:
    sim.set_warm()
    sim.run(8.0)
    for target in sim.targets.values():
        sim.restart_target(target, silent=True)
    sim.run(1.0)
    for target in sim.targets.values():
        sim.restart_target(target, silent=True)
    sim.run(20.0)


def _domain_recovers(sim: fleet.SimFleet) -> None:
    sim.set_warm()
    sim.run(8.0)
    domain = [
        target
        for target in sim.targets.values()
        if target.failure_domain == 'domain-1'
    ]
    for target in domain:
        target.up = False
        sim.restart_target(target)
    sim.run(10.0)
    for target in domain:
        target.up = True
    sim.run(20.0)


SCENARIOS: dict[str, typing.Callable[[fleet.SimFleet], None]] = {
    'all entries and targets start': _all_cold,
    'diverging views, lost heartbeats': _diverging_views,
    'entries paused': _entries_paused,
    'entries replaced': _entries_replaced,
    'targets restart twice in 1 s': _targets_restart_twice,
    'a whole failure domain recovers': _domain_recovers,
}


def measure_cold_starts(
    scenario: typing.Callable[[fleet.SimFleet], None],
    controller: type[warmup.WarmupController],
) -> tuple[int, int, int, float]:
    """Return results over all seeds and targets.

    :return: the most requests at once to a cold target, the most above its
        limit, the number of requests to cold targets, and the fraction of
        targets that are warm at the end.
    """
    peak, excess, cold_requests, warm, total = 0, 0, 0, 0, 0
    for seed in SEEDS:
        sim = fleet.SimFleet(
            seed,
            ENTRIES,
            [RULES] * TARGETS,
            controller=controller,
            request_s=(0.05, 0.5),
        )
        scenario(sim)
        for target in sim.targets.values():
            peak = max(peak, target.peak_cold_concurrency)
            excess = max(excess, target.peak_excess)
            cold_requests += target.cold_requests
            warm += target.warm
            total += 1
    return peak, excess, cold_requests, warm / total


def measure_first_request(kill_holder: bool) -> tuple[float, float]:
    """Return median and longest seconds from restart to first request."""
    waits_s = []
    for seed in SEEDS:
        sim = fleet.SimFleet(
            seed, ENTRIES, [RULES] * TARGETS, request_s=(0.05, 0.5)
        )
        sim.set_warm()
        sim.run(12.0)
        restarted_at = sim.now
        target = sim.targets['t0']
        sim.restart_target(target)
        holder = shares.holder_of(
            't0',
            sim.entries[0].membership.view(sim.entries[0].local_time(sim.now)),
        )
        if kill_holder:
            for entry in sim.running_entries():
                if entry.entry_id == holder:
                    sim.kill_entry(entry)
        while (
            target.first_request_at is None and sim.now < restarted_at + 60.0
        ):
            sim.run(0.2)
        waits_s.append((target.first_request_at or sim.now) - restarted_at)
    return statistics.median(waits_s), max(waits_s)


def main() -> None:
    """Print the tables."""
    print('| peers | facts | bytes | sent bytes/s | CPU us | CPU % |')
    print('|---|---|---|---|---|---|')
    for peers in (3, 17, 50):
        cost = measure_heartbeats(peers, 1)
        print(
            f'| {cost.peers} | 1 | {cost.size} | {cost.sent_per_s:.0f} '
            f'| {cost.cpu_us:.0f} | {cost.cpu_percent:.2f} |'
        )
    print('\n| 17 entries, 60 targets | frame | sent B/s | with TCP/IP B/s |')
    print('|---|---|---|---|')
    rate = 16 / membership.HEARTBEAT_S
    for label, facts in (('quiet', 1), ('targets change', 2)):
        size = len(wire.encode_frame(heartbeat(16, facts)))
        print(
            f'| {label} | {size} | {size * rate:.0f} '
            f'| {(size + HEADER_BYTES) * rate:.0f} |'
        )
    for count in (1, 15):
        notice = wire.Notice(1_760_000_000, heartbeat(16, count).targets)
        size = len(wire.encode_frame(notice))
        print(
            f'| notice of {count}, once | {size} | {size * 16} '
            f'| {(size + HEADER_BYTES) * 16} |'
        )
    print('\n| first request to a restarted target | median s | max s |')
    print('|---|---|---|')
    for label, kill_holder in (
        ('holder alive', False),
        ('holder killed', True),
    ):
        median, longest = measure_first_request(kill_holder)
        print(f'| {label} | {median:.1f} | {longest:.1f} |')
    print('\n| scenario | entries | peak | excess | cold requests | warm |')
    print('|---|---|---|---|---|---|')
    for name, scenario in SCENARIOS.items():
        for label, controller in (
            ('holder', warmup.WarmupController),
            ('independent', IndependentController),
        ):
            peak, excess, cold_requests, warm = measure_cold_starts(
                scenario, controller
            )
            print(
                f'| {name} | {label} | {peak} | {excess} | {cold_requests} '
                f'| {warm:.0%} |',
                flush=True,
            )


if __name__ == '__main__':
    main()
