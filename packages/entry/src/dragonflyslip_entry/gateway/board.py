"""State that the controllers of one gateway share."""

import collections
import dataclasses
import random

from dragonflyslip_core import admission
from dragonflyslip_core import directory as directory_types
from dragonflyslip_core import manifest as manifest_types
from dragonflyslip_core import pacing
from dragonflyslip_core import placement
from dragonflyslip_core import providers
from dragonflyslip_core import request_crashes
from dragonflyslip_core import response_times as response_time_types
from dragonflyslip_core import target_limits
from dragonflyslip_entry import logs


@dataclasses.dataclass
class GatewayBoard:
    """Shared state of one gateway; controllers read and write it.

    :param name: name of the gateway.
    :param manifest: the manifest in force, None until one has been read.
    :param repeat_ratio: ratio of retries and hedges to requests that is
        allowed for a service, all gateways together.
    :param repeat_slack: further retries and hedges allowed in one budget
        window, all gateways together.
    :param ask_rate: value of the flag ``--ask-rate``: probes a second to one
        target, all gateways together.
    :param entries: gateways among which the limits of the fleet are divided.
    :param directory: the registered targets.
    :param targets_listed: whether a complete list of targets has been read
        since the start.
    :param standings: failures and availability of each target as seen by
        this gateway, by target id.
    :param route_loads: statistics of service times and callers' timeouts, by
        service and kind of route.
    :param response_times: how long requests of a route have lately taken, by
        name of the route.
    :param draining: whether the process is about to stop.
    :param store_era: newest era of the copies of the store's feeds.
    :param counters: counts by metric name without the common prefix.
    """

    name: str
    failure_domain: str
    rng: random.Random
    repeat_ratio: float
    repeat_slack: float
    ask_rate: float
    entries: int
    directory: directory_types.Directory = dataclasses.field(
        default_factory=directory_types.Directory
    )
    manifest: manifest_types.Manifest | None = None
    targets_listed: bool = False
    draining: bool = False
    store_era: int = 0
    standings: dict[str, placement.TargetStanding] = dataclasses.field(
        default_factory=dict
    )
    repeat_budgets: dict[str, pacing.RepeatBudget] = dataclasses.field(
        default_factory=dict
    )
    route_loads: dict[
        tuple[str, manifest_types.RouteKind], admission.RouteLoad
    ] = dataclasses.field(default_factory=dict)
    response_times: dict[str, response_time_types.ResponseTimes] = (
        dataclasses.field(default_factory=dict)
    )
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def __post_init__(self):
        self.fleet = providers.FleetSize(self.entries)
        self.request_crashes = request_crashes.RequestCrashes(self.name)
        self.target_limits = target_limits.TargetLimits(self.name, self.rng)
        self.cold_pacer = pacing.ColdPacer(self.entries)
        self.probe_budget = pacing.HealthProbeBudget(
            self.ask_rate, self.entries
        )

    @property
    def ready(self) -> bool:
        """Whether the gateway should receive requests of callers."""
        known = self.manifest is not None and self.targets_listed
        return known and not self.draining

    def set_entries(self, entries: int) -> None:
        """Divide the limits of the fleet among this many gateways."""
        if entries == self.entries:
            return
        self.entries = entries
        self.cold_pacer.entries = entries
        self.probe_budget.entries = entries
        for budget in self.repeat_budgets.values():
            budget.entries = entries

    def set_registered_entries(self, names: frozenset[str]) -> None:
        """Record the names of all registered gateways."""
        self.target_limits.set_entries(names)
        self.request_crashes.entries = names

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self.counters[name] += amount

    def standing_of(self, target_id: str) -> placement.TargetStanding:
        """Return the standing of a target, created at first use."""
        standing = self.standings.get(target_id)
        if standing is None:
            standing = self.standings[target_id] = placement.TargetStanding()
        return standing

    def repeat_budget_of(self, service: str) -> pacing.RepeatBudget:
        """Return the budget of retries and hedges of a service."""
        budget = self.repeat_budgets.get(service)
        if budget is None:
            budget = self.repeat_budgets[service] = pacing.RepeatBudget(
                self.repeat_ratio, self.repeat_slack, self.entries
            )
        return budget

    def route_load_of(
        self, service: str, kind: manifest_types.RouteKind
    ) -> admission.RouteLoad:
        """Return the response times learned for one kind of request."""
        load = self.route_loads.get((service, kind))
        if load is None:
            load = self.route_loads[service, kind] = admission.RouteLoad()
        return load

    def response_times_of(
        self, route: str
    ) -> response_time_types.ResponseTimes:
        """Return how long requests of a route have lately taken."""
        known = self.response_times.get(route)
        if known is None:
            known = response_time_types.ResponseTimes()
            self.response_times[route] = known
        return known

    def set_manifest(self, manifest: manifest_types.Manifest) -> None:
        """Bring a manifest into force."""
        self.manifest = manifest
        names = {route.name for route in manifest.routes}
        for name in self.response_times.keys() - names:
            del self.response_times[name]

    def record_limit(
        self,
        target_id: str,
        limit: float | None,
        source: target_limits.Source,
        now: float,
    ) -> None:
        """Record the limit in a target's response; log its start and end."""
        if self.target_limits.record(target_id, limit, source, now):
            self.count('target_limits')
            logs.request('target limit', target=target_id, limit=limit)

    def record_leaving(self, target_id: str) -> None:
        """Record that a target says that it is leaving; log it once."""
        if self.directory.set_leaving(target_id):
            self.count('targets_leaving')
            logs.info('target says it is leaving', target=target_id)

    def record_pause(self, target_id: str, pause_s: float, now: float) -> None:
        """Record and log that a target wants nothing for some seconds."""
        self.standing_of(target_id).pause(pause_s, now)
        self.count('target_pauses')
        logs.request('target asks for a pause', target=target_id, s=pause_s)

    def forget_target(self, target_id: str) -> None:
        """Delete the state of a target that is gone."""
        self.standings.pop(target_id, None)
        self.cold_pacer.forget(target_id)
        self.target_limits.forget(target_id)
