"""The whole path over real processes and sockets while parts of it fail.

Callers keep what they were told, targets keep what they ran, and
:func:`find_violations` compares the two at the end.
"""

import asyncio
import base64
import collections
import contextlib
import dataclasses
import hashlib
import json
import random
import signal
import time
import uuid

import aiohttp

from bench import processes

_SEED = 20_261
_TOTAL_S = 120.0
# Requirement: seconds after which withdrawn targets receive no new work.
_WITHDRAWAL_S = 5.0
_SERVICES = ('casebook', 'grantdesk')
_KEYED_ATTEMPTS = 6
_PATIENCE_S = 2.5
_ANSWER_CHUNK = b'0123456789abcdef'
_UPLOAD_PARTS = 60
_UPLOAD_PART_BYTES = 50_000
_PROFILE = (
    'warmup_s=1',
    'domain_spill_percent=1',
    'deadline_ms=8000',
    'progress_timeout_ms=1500',
)


@dataclasses.dataclass
class Told:
    """What a caller was told of one attempt.

    :param status: 0 if the connection ended without a whole response.
    :param fault: how a 200 differs from the answer to this request.
    :param kind: kind of a refusal.
    :param alone: whether no other attempt of the key was under way.
    """

    path: str
    key: str
    entry: str
    status: int
    outcome: str
    heard_at: float
    fault: str = ''
    kind: str = ''
    alone: bool = True


@dataclasses.dataclass
class Withdrawal:
    """Time in which targets were out of service, in monotonic seconds."""

    target_ids: tuple[str, ...]
    since: float
    until: float = float('inf')


@dataclasses.dataclass
class Record:
    """All that callers heard and operators did."""

    told: list[Told] = dataclasses.field(default_factory=list)
    withdrawals: list[Withdrawal] = dataclasses.field(default_factory=list)


def find_violations(record: Record, runs: dict[str, list[dict]]) -> list[str]:
    """Compare what targets ran with what callers were told.

    :param runs: the run record of each target.
    """
    by_key = collections.defaultdict(list)
    by_path = collections.defaultdict(list)
    for target_runs in runs.values():
        for run in target_runs:
            (by_key if run['key'] else by_path)[
                run['key'] or run['path']
            ].append(run['started_at'])
    found = [
        f'{key} ran {len(times)} times'
        for key, times in by_key.items()
        if len(times) > 1
    ]
    for told in record.told:
        started = by_key[told.key] if told.key else by_path[told.path]
        if told.fault:
            found.append(f'wrong answer: {told}')
        if told.status == 200 and not started:
            found.append(f'answered but not run: {told}')
        # No attempt of a key can have run before one is told so; calls
        # without a key are sent once by their caller.
        if (
            told.outcome == 'not-run'
            and told.alone
            and any(not told.key or at < told.heard_at for at in started)
        ):
            found.append(f'ran although told not-run: {told}')
    attempts = collections.defaultdict(set)
    for told in record.told:
        attempts[told.key].add(told.outcome)
    found += [
        f'{key} ran although every attempt was told not-run'
        for key, told_outcomes in attempts.items()
        if key and told_outcomes == {'not-run'} and by_key[key]
    ]
    for withdrawal in record.withdrawals:
        late_from = withdrawal.since + _WITHDRAWAL_S
        found += [
            f'{target_id} started {run["path"]} '
            f'{run["started_at"] - withdrawal.since:.2f} s after withdrawal'
            for target_id in withdrawal.target_ids
            for run in runs[target_id]
            if late_from < run['started_at'] < withdrawal.until
        ]
    return found


class _Callers:
    """Callers that send until stopped.

    :param urls: address of each entry by name; changes as entries do.
    """

    def __init__(self, record: Record, urls: dict[str, str]):
        self.record = record
        self.urls = urls
        self.stopping = False

    async def run(self, seed: int, keyed: bool) -> None:
        """Send calls one after another."""
        rng = random.Random(seed)
        # The client repeats idempotent calls itself when a kept connection
        # breaks, which would hide attempts from the record.
        connector = aiohttp.TCPConnector(force_close=not keyed)
        # Callers leave a paused entry with the call in its hands.
        timeout = aiohttp.ClientTimeout(total=_PATIENCE_S)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            number = 0
            while not self.stopping:
                number += 1
                path = f'/{seed}/{number}?q={rng.randrange(100)}'
                service = rng.choice(_SERVICES)
                if keyed:
                    await self._submit(session, rng, service, path)
                else:
                    await self._read(session, rng, service, path)
                await asyncio.sleep(rng.uniform(0.005, 0.03))

    async def _read(self, session, rng, service, path) -> None:
        headers = {'X-Test-Delay-Ms': str(rng.choice((0, 5, 40)))}
        size = rng.choice((0, 0, 0, 200_000))
        if size:
            headers['X-Test-Response-Bytes'] = str(size)
        entry = rng.choice(sorted(self.urls))
        await self.attempt(
            session, entry, 'GET', service, path, headers, size=size
        )

    async def _submit(self, session, rng, service, path) -> None:
        key, body = new_key(rng), rng.randbytes(rng.randrange(1, 3000))
        headers = {
            'Idempotency-Key': key,
            'X-Test-Delay-Ms': str(rng.choice((0, 10, 80))),
        }
        if rng.random() < 0.05:
            headers['X-Test-Shed'] = '1'
        first = rng.randrange(len(self.urls))
        if 'X-Test-Shed' not in headers and rng.random() < 0.3:
            await self._submit_everywhere(
                session, service, path, headers, body
            )
            return
        for number in range(_KEYED_ATTEMPTS):
            names = sorted(self.urls)
            marked = {'Dragonflyslip-Attempt': '1'} if not number else {}
            told = await self.attempt(
                session,
                names[(first + number) % len(names)],
                'POST',
                service,
                path,
                {**headers, **marked},
                body,
            )
            if told.status == 200 or self.stopping:
                return
            # Some later attempts of a shed request may run.
            if rng.random() < 0.5:
                headers.pop('X-Test-Shed', None)
            await asyncio.sleep(rng.uniform(0.05, 0.4))

    async def _submit_everywhere(
        self, session, service, path, headers, body
    ) -> None:
        """Send one call to all entries at once; one claim must win."""
        for told in await asyncio.gather(
            *[
                self.attempt(
                    session, entry, 'POST', service, path, headers, body
                )
                for entry in sorted(self.urls)
            ]
        ):
            told.alone = False

    async def attempt(
        self, session, entry, method, service, path, headers, body=b'', size=0
    ) -> Told:
        """Send one attempt and keep what was told."""
        told = Told(
            path, headers.get('Idempotency-Key', ''), entry, 0, '', 0.0
        )
        digest = ''
        if isinstance(body, bytes):
            digest = hashlib.sha256(body).hexdigest()
        with contextlib.suppress(
            aiohttp.ClientError, asyncio.TimeoutError, OSError
        ):
            async with session.request(
                method,
                f'http://{self.urls[entry]}{path}',
                headers={'Host': service, **headers},
                data=body or None,
            ) as response:
                content = await response.read()
                told.status = response.status
                told.outcome = response.headers.get(
                    'Dragonflyslip-Outcome', ''
                )
                if told.outcome:
                    told.kind = _kind(response, content)
                if told.status == 200:
                    told.fault = _fault(
                        response.headers, content, method, path, digest, size
                    )
        told.heard_at = time.monotonic()
        self.record.told.append(told)
        return told


def _kind(response, content) -> str:
    if response.content_type == 'application/problem+json':
        return json.loads(content)['title']
    return f'status {response.status}'


def _fault(headers, content, method, path, digest, size) -> str:
    if headers['X-Test-Path'] != path:
        return f'answer of {headers["X-Test-Path"]}'
    if digest and headers['X-Test-Digest'] != digest:
        return 'the target received another body'
    expected = f'{headers["X-Test-Target"]} {method} {path}\n'.encode()
    if size:
        expected = (_ANSWER_CHUNK * (size // 16 + 1))[:size]
    return '' if content == expected else f'{len(content)} bytes'


def new_key(rng: random.Random) -> str:
    """Return a UUIDv7 of now."""
    value = int(time.time() * 1000) << 80 | 7 << 76 | rng.getrandbits(76)
    return str(uuid.UUID(int=value & ~(3 << 62) | 2 << 62))


class _Scenario:
    """Starts the processes, and lets them fail while callers send."""

    def __init__(self, group: processes.Processes):
        self.group = group
        self.record = Record()
        self.urls: dict[str, str] = {}
        self.ports: dict[str, int] = {}
        self.callers = _Callers(self.record, self.urls)
        self.upload_digest = ''
        self.silenced_at = float('inf')

    def operate(self, *arguments: str) -> int:
        """Run the operator command; return the offset of its change."""
        done = self.group.operator(*arguments)
        assert done.returncode == 0, done.stderr
        return int(done.stdout.split('\t')[1])

    def accepted_at(self, offset: int) -> float:
        """Return when the log stored a change, in monotonic seconds."""
        page = processes.http_json(
            f'{self.group.log_url}/streams/config/records'
            f'?from={offset}&limit=1'
        )
        assert base64.b64decode(page['records'][0]['data'])
        at = page['records'][0]['at_ms'] / 1000
        return at - time.time() + time.monotonic()

    def start(self) -> None:
        """Start targets, a relay and entries."""
        group = self.group
        settings = [part for item in _PROFILE for part in ('--set', item)]
        self.operate('profile', 'publish', 'careful', *settings)
        for service in _SERVICES:
            self.operate('service', 'publish', service, '--profile', 'careful')
            for number, zone in enumerate('aabb', 1):
                name = f'{service}-{number}'
                self.ports[name] = group.target(name, service, f'zone-{zone}')
        relay = group.stand_in(
            'relay', 'relay', target_port=self.ports['casebook-1']
        )
        group.list_instance(
            'casebook-1', 'target', 'casebook', relay, 'zone-a'
        )
        for name, zone in (('entry-1', 'a'), ('entry-2', 'b')):
            self.start_entry(name, f'zone-{zone}')
        self.start_entry('entry-3', 'zone-a')
        for name in tuple(self.urls):
            group.wait_ready(name)

    def start_entry(self, name: str, domain: str) -> None:
        """Start an entry, in place of an earlier one of the same name."""
        port = self.group.entry(name, domain)
        self.urls[name] = f'127.0.0.1:{port}'

    def tell_target(self, name: str, command: str) -> dict | None:
        """Send a test command to a target, not through the relay."""
        return processes.http_json(
            f'http://127.0.0.1:{self.ports[name]}/.testing/{command}',
            'GET' if command == 'runs' else 'POST',
        )

    def runs(self) -> dict[str, list[dict]]:
        """Return the run record of each target."""
        return {
            name: self.tell_target(name, 'runs')['runs'] for name in self.ports
        }

    async def run(self) -> None:
        """Let callers send while parts fail."""
        await asyncio.to_thread(self.start)
        tasks = [
            asyncio.create_task(
                self.callers.run(_SEED + number, keyed=number % 2 == 0)
            )
            for number in range(10)
        ]
        try:
            await self.until_warm()
            await asyncio.sleep(1)
            await self.withdraw_domain_past_paused_entry()
            await self.until_warm()
            await asyncio.sleep(1)
            await self.replace_entry()
            await self.until_warm()
            await self.silence_and_restart()
            await self.drain_during_upload()
            await asyncio.sleep(2)
            self.callers.stopping = True
            await asyncio.gather(*tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def until_warm(self) -> None:
        """Wait until every entry may send to every target that is in."""
        while True:
            states = await asyncio.to_thread(
                lambda: [
                    processes.http_json(
                        f'http://127.0.0.1:{self.group.admin_ports[name]}'
                        '/state'
                    )
                    for name in sorted(self.urls)
                ]
            )
            if all(
                target['warm_limit'] is None and not target['suspected']
                for state in states
                for name, target in state['targets'].items()
                if self.group.rows[name]['state'] == 'live'
            ):
                return
            await asyncio.sleep(0.2)

    async def withdraw_domain_past_paused_entry(self) -> None:
        """Pause an entry while a domain is taken out, then resume it."""
        self.group.signal('entry-2', signal.SIGSTOP)
        offset = await asyncio.to_thread(
            self.operate, 'domain', 'out', 'zone-b'
        )
        out = Withdrawal(
            tuple(name for name in self.ports if name[-1] in '34'),
            self.accepted_at(offset),
        )
        self.record.withdrawals.append(out)
        await asyncio.sleep(_WITHDRAWAL_S + 1)
        self.group.signal('entry-2', signal.SIGCONT)
        await asyncio.sleep(4)
        out.until = time.monotonic()
        await asyncio.to_thread(
            self.operate, 'domain', 'in', 'zone-b', '--wait'
        )

    async def replace_entry(self) -> None:
        """Kill an entry, start its replacement, withdraw a target."""
        self.group.signal('entry-3', signal.SIGKILL)
        self.group.running['entry-3'].wait()
        row = {**self.group.rows['grantdesk-2'], 'state': 'leaving'}
        self.group.rows['grantdesk-2'] = row
        self.record.withdrawals.append(
            Withdrawal(('grantdesk-2',), time.monotonic())
        )
        # Listing the replacement also lists the leaving target.
        await asyncio.to_thread(self.start_entry, 'entry-3', 'zone-a')
        await asyncio.to_thread(
            self.operate,
            'profile',
            'publish',
            'careful',
            *[p for item in _PROFILE for p in ('--set', item)],
            '--set',
            'max_attempts=3',
        )
        await asyncio.to_thread(self.group.wait_ready, 'entry-3')

    async def silence_and_restart(self) -> None:
        """Silence the connections of one target and restart another."""
        self.silenced_at = time.monotonic()
        self.group.signal('relay', signal.SIGUSR1)
        await asyncio.sleep(1)
        await asyncio.to_thread(self.tell_target, 'casebook-2', 'restart')
        await asyncio.sleep(4)

    async def drain_during_upload(self) -> None:
        """Send SIGTERM to an entry that carries a long upload."""
        rng = random.Random(_SEED)
        digest = hashlib.sha256()
        halfway = asyncio.Event()

        async def parts():
            for number in range(_UPLOAD_PARTS):
                part = rng.randbytes(_UPLOAD_PART_BYTES)
                digest.update(part)
                yield part
                if number == _UPLOAD_PARTS // 3:
                    halfway.set()
                await asyncio.sleep(0.1)

        async with aiohttp.ClientSession() as session:
            upload = asyncio.create_task(
                self.callers.attempt(
                    session,
                    'entry-1',
                    'POST',
                    'grantdesk',
                    '/upload',
                    {'Idempotency-Key': new_key(rng)},
                    parts(),
                )
            )
            await asyncio.wait_for(halfway.wait(), 20)
            self.group.signal('entry-1', signal.SIGTERM)
            # Callers turn to the others, as a balancer in front would.
            del self.urls['entry-1']
            await upload
        self.upload_digest = digest.hexdigest()
        drained = self.group.running['entry-1']
        assert await asyncio.to_thread(drained.wait, 20) == 0


class TestProcesses:
    def test_records_of_targets_and_callers_agree(self):
        # Guards against second runs, false not-run, mixed or cut answers,
        # work for withdrawn targets and uploads cut by a shutdown.
        async def bounded(scenario):
            async with asyncio.timeout(_TOTAL_S):
                await scenario.run()

        with processes.Processes() as group:
            scenario = _Scenario(group)
            asyncio.run(bounded(scenario))
            runs = scenario.runs()
        record = scenario.record
        assert find_violations(record, runs) == []
        uploads = [told for told in record.told if told.path == '/upload']
        assert [told.status for told in uploads] == [200]
        assert [
            run['digest']
            for target_runs in runs.values()
            for run in target_runs
            if run['path'] == '/upload'
        ] == [scenario.upload_digest]
        self._check_coverage(record, runs, scenario.silenced_at)

    def _check_coverage(self, record, runs, silenced_at):
        # The comparison means nothing if callers or faults did not act.
        answered = collections.Counter(
            (told.entry, bool(told.key))
            for told in record.told
            if told.status == 200
        )
        assert len(answered) == 6
        assert min(answered.values()) > 20, answered
        assert any(told.outcome == 'not-run' for told in record.told)
        repeated = collections.Counter(
            told.key for told in record.told if told.key
        )
        assert max(repeated.values()) > 1
        relayed = [run['started_at'] for run in runs['casebook-1']]
        assert min(relayed) < silenced_at and max(relayed) > silenced_at + 2
        print(
            f'{len(record.told)} attempts, {len(repeated)} keys, '
            f'{sum(map(len, runs.values()))} runs, answered {answered}, '
            f'refused {collections.Counter(t.kind for t in record.told)}, '
            f'{sum(not told.status for told in record.told)} without answer'
        )
        # Withdrawn targets were in use until then, and again after it.
        for withdrawal in record.withdrawals:
            for target_id in withdrawal.target_ids:
                times = [run['started_at'] for run in runs[target_id]]
                assert any(-3 < at - withdrawal.since < 0 for at in times)
                if withdrawal.until < float('inf'):
                    assert max(times) > withdrawal.until


class TestOracle:
    """The comparison itself finds each kind of violation."""

    def _violations(self, told, runs, withdrawals=()):
        return find_violations(Record(told, list(withdrawals)), {'t': runs})

    def test_each_violation_is_found(self):
        run = {'key': 'k', 'path': '/a', 'started_at': 1.0}
        unkeyed = {**run, 'key': ''}
        told = Told('/a', 'k', 'e', 200, '', 2.0)
        refused = dataclasses.replace(told, status=503, outcome='not-run')
        assert self._violations([told], [run]) == []
        for case in (
            ([told], [run, run]),
            ([told], []),
            ([dataclasses.replace(told, fault='cut')], [run]),
            ([refused], [run]),
            ([refused], [{**run, 'started_at': 3.0}]),
            ([dataclasses.replace(refused, key='')], [unkeyed]),
            ([], [{**run, 'started_at': 6.5}], [Withdrawal(('t',), 1.0)]),
        ):
            assert self._violations(*case), case
