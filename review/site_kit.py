"""A small site for the cases in this folder: control and entry instances as
separate processes on loopback addresses, and stand-ins for servers, clients
and the operator in this process. It uses nothing beyond Python's library.
"""
import asyncio
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
PROGRAM = os.path.join(HERE, '..', 'target', 'carobloomd', 'carobloomd')
KEY = 'review-key'

# The bounds of the site file gaf-carobloom.
STABLE_WINDOW_S = 3.0
DRAIN_S = 2.0
BEAT_S = 1.2
MEMORY_MB = 260

HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up; says nothing of the rule."""


class Record:
    """What was sent, answered and run, a line each, in seconds from the
    start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write(f'{self.now():9.4f}  {text}\n')

    def say(self, text):
        self.line(text)
        print(text)


def free_net():
    """Three bytes of a loopback network, and ports, that nobody uses there."""
    for _ in range(50):
        net = f'127.{random.randrange(20, 250)}.{random.randrange(1, 250)}'
        base = random.randrange(20000, 30000)
        ports = {n: base + i for i, n in enumerate(
            ('callers', 'probe', 'control', 'peers', 'metrics', 'server'))}
        try:
            for port in ports.values():
                with socket.socket() as s:
                    s.bind((f'{net}.1', port))
        except OSError:
            continue
        return net, ports
    raise CannotRun('no free ports')


async def read_head(reader):
    """The first line and the fields of a message, names in lower case."""
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = text.split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, until_close):
    """The body and whether it is whole by its framing."""
    try:
        if fields.get('transfer-encoding', '').lower() == 'chunked':
            body = b''
            while True:
                size = int((await reader.readline()).split(b';')[0], 16)
                chunk = await reader.readexactly(size + 2)
                if size == 0:
                    return body, True
                body += chunk[:-2]
        if 'content-length' in fields:
            return await reader.readexactly(int(fields['content-length'])), True
        if until_close:
            return await reader.read(), True
        return b'', True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return b'', False


class Reply:
    def __init__(self, status, fields, body, whole):
        self.status, self.fields = status, fields
        self.body, self.whole = body, whole


NOTHING = Reply(0, {}, b'', False)


async def call(address, method, target, fields=(), body=None, wait_s=5.0):
    """One call on a connection of its own; NOTHING when none came back."""
    host, port = address.rsplit(':', 1)
    writer = None

    async def run():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{n}: {v}' for n, v in fields]
        if body is not None:
            lines.append(f'Content-Length: {len(body)}')
        writer.write('\r\n'.join(lines + ['', '']).encode() + (body or b''))
        line, got = await read_head(reader)
        data, whole = await read_body(reader, got, True)
        return Reply(int(line.split()[1]), got, data, whole)

    try:
        return await asyncio.wait_for(run(), wait_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError,
            ValueError, IndexError):
        return NOTHING
    finally:
        if writer is not None:
            writer.close()


class Server:
    """A sound server of the users' pages. Serves plain answers and streams,
    and sends heartbeats until told not to."""

    def __init__(self, site, name, service, slots=64):
        self.site, self.id, self.service = site, name, service
        self.slots = slots
        self.ip = site.next_ip()
        self.address = f'{self.ip}:{site.ports["server"]}'
        self.home = None        # the control instance that it picks; None: any
        self.control = None     # where heartbeats go; None: it picks again
        self.state = 'ready'
        self.sequence = 0
        self.beats = True
        self.arrivals = []      # (time, request id)
        self.runs = []
        self.listener = None
        self.task = None
        self.connections = set()

    async def start(self):
        self.listener = await asyncio.start_server(
            self.connected, self.ip, self.site.ports['server'], backlog=512)
        self.task = asyncio.create_task(self.beat())

    async def beat_once(self):
        self.sequence += 1
        body = json.dumps({
            'Service': self.service, 'Address': self.address,
            'Zone': 'zone-a', 'Version': 'v1', 'Slots': self.slots,
            'State': self.state, 'ColdRemainingMs': 0, 'Stage': 'both',
            'Models': [{'Name': 'm', 'Version': 1, 'Adapters': []}],
            'Sequence': self.sequence}).encode()
        at = (self.control or self.home or
              random.choice(self.site.control_addresses()))
        reply = await call(at, 'PUT', f'/api/instances/{self.id}',
                           [('Content-Type', 'application/json')], body, 1.0)
        if reply.status != 200:
            self.control = None
            return False
        self.control = json.loads(reply.body).get('HeartbeatAddr') or at
        return True

    async def beat(self):
        while self.beats:
            heard = await self.beat_once()
            await asyncio.sleep(BEAT_S if heard else 0.1)

    async def stop(self):
        self.beats = False
        if self.task:
            self.task.cancel()
        if self.listener:
            self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def connected(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body, whole = await read_body(reader, fields, False)
                if not whole:
                    break
                await self.answer(line, fields, body, reader, writer)
        except (OSError, asyncio.IncompleteReadError,
                asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def answer(self, line, fields, body, reader, writer):
        path = line.split()[1]
        if path.startswith('/health'):
            writer.write(f'HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\n'
                         'Content-Length: 0\r\n\r\n'.encode())
            return
        name = fields.get('request-id', '')
        if fields.get('expect-instance', self.id) != self.id:
            writer.write(f'HTTP/1.1 421 Misdirected\r\nRequest-Id: {name}\r\n'
                         'Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
                         .encode())
            return
        record = self.site.record
        self.arrivals.append((record.now(), name))
        record.line(f'{name} reaches {self.id}')
        await self.serve(name, path, fields, body, reader, writer)

    async def serve(self, name, path, fields, body, reader, writer):
        record = self.site.record
        self.runs.append((record.now(), name))
        record.line(f'{name} runs at {self.id}')
        await asyncio.sleep(0.015)
        text = f'{self.id} answers {name}'
        writer.write(f'HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n'
                     f'Response-Seal: seal-{name}\r\n'
                     f'Content-Length: {len(text)}\r\n\r\n{text}'.encode())


class StreamServer(Server):
    """Answers /read/ with streams of two seconds."""
    EVENTS, EVENT_S = 40, 0.05

    async def serve(self, name, path, fields, body, reader, writer):
        if not path.startswith('/read/'):
            await super().serve(name, path, fields, body, reader, writer)
            return
        self.site.record.line(f'{name} runs at {self.id}')
        writer.write(f'HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n'
                     f'Response-Seal: seal-{name}\r\n'
                     'Content-Type: text/event-stream\r\n'
                     'Transfer-Encoding: chunked\r\n\r\n'.encode())
        for event in range(1, self.EVENTS + 1):
            text = f'id: {event}\ndata: {name}\n\n'
            writer.write(f'{len(text):x}\r\n{text}\r\n'.encode())
            await asyncio.sleep(self.EVENT_S)
        writer.write(b'0\r\n\r\n')


class Site:
    def __init__(self, folder, controls=5, entries=8):
        self.record = Record(os.path.join(folder, 'record.txt'))
        self.net, self.ports = free_net()
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.ips = 0
        self.processes = {}
        self.names = {}
        self.versions = 0
        self.controls = [self.add('control', i) for i in range(controls)]
        self.entries = [self.add('entry', i) for i in range(entries)]
        self.requests = 0
        self.servers = []
        self.memory_mb = 256

    def next_ip(self):
        self.ips += 1
        return f'{self.net}.{self.ips}'

    def add(self, role, at):
        name = f'{role}-{at}'
        self.names[name] = self.next_ip()
        os.mkdir(os.path.join(self.folder, name))
        return name

    def address(self, name, port):
        return f'{self.names[name]}:{self.ports[port]}'

    def control_addresses(self):
        return [self.address(n, 'control') for n in self.controls]

    def write_settings(self, name, founding, more=None):
        ip = self.names[name]
        gateway = {
            'address': ip, 'trusted_network': True, 'founding': founding,
            'memory_mb': self.memory_mb, 'descriptors': 4096, 'heartbeat_ms': 1200,
            'grace_s': 8, 'revoke_ms': 5000, 'retry_ratio': 0.2,
            'retry_window_s': 10, 'retry_slack': 56,
            'peers_port': self.ports['peers'],
            'metrics': f'{ip}:{self.ports["metrics"]}',
            'seeds': self.control_addresses()[:3]}
        if name in self.controls:
            gateway['control'] = self.address(name, 'control')
        else:
            gateway['callers'] = self.address(name, 'callers')
            gateway['probe'] = self.address(name, 'probe')
        gateway.update(more or {})
        folder = os.path.join(self.folder, name)
        path = os.path.join(folder, 'node.conf')
        with open(path, 'w', encoding='utf-8') as f:
            json.dump({'instance': name, 'data_centre': 'zone-a',
                       'region': 'region-a',
                       'data_folder': os.path.join(folder, 'data'),
                       'gateway': gateway}, f)
        return path

    def start(self, name, founding=False, more=None):
        path = self.write_settings(name, founding, more)
        log = open(os.path.join(self.folder, name, 'log'), 'ab')
        self.processes[name] = subprocess.Popen(
            [PROGRAM, '--settings', path], stdin=subprocess.DEVNULL,
            stdout=log, stderr=log, cwd=os.path.join(HERE, '..'))
        log.close()
        self.record.line(f'{name} starts')

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)
        self.record.line(f'{name} gets {signal.Signals(number).name}')

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def config(self, routes, services, version=None):
        self.versions = version or self.versions + 1
        return {
            'Version': self.versions, 'Routes': routes, 'Services': services,
            'Limits': {'MaxHeaderBytes': 16384, 'MaxBodyBytes': 4194304,
                       'HeaderTimeoutMs': 3000, 'IdleTimeoutMs': 15000},
            'Tenants': [{'Name': 't', 'ApiKeys': [KEY], 'Priority': 1}]}

    @staticmethod
    def route(name, kind, service, **more):
        route = {'Name': name, 'Host': 'site.example',
                 'PathPrefix': f'/{name}/', 'Kind': kind, 'TimeoutMs': 5000,
                 'TargetLatencyMs': 100, 'Priority': 2, 'Service': service,
                 'MaxAttempts': 2, 'Public': False, 'Sticky': False,
                 'Resumable': False, 'TargetGapMs': 0}
        route.update(more)
        return route

    @staticmethod
    def service(name, **more):
        service = {'Name': name, 'HealthPath': '/health',
                   'MaxConnections': 400, 'Protocol': 'h1', 'Tls': False}
        service.update(more)
        return service

    async def put(self, config, wait_s=20.0):
        """Sends a configuration as the operator does. Its status; 0: none in
        time."""
        body = json.dumps(config).encode()
        until = time.monotonic() + wait_s
        while time.monotonic() < until:
            for at in random.sample(self.control_addresses(),
                                    len(self.controls)):
                for _ in range(3):
                    reply = await call(
                        at, 'PUT', '/api/config',
                        [('Content-Type', 'application/json')], body, 1.0)
                    if reply.status != 307:
                        break
                    at = reply.fields['location'].split('/')[2]
                if reply.status in (200, 400):
                    self.record.line(f'configuration {config["Version"]}: '
                                     f'{reply.status}')
                    return reply.status
            await asyncio.sleep(0.2)
        return 0

    async def is_ready(self, name):
        reply = await call(self.address(name, 'probe'), 'GET', '/api/ready',
                           wait_s=1.0)
        return reply.status == 200

    async def wait_ready(self, wait_s=20.0):
        until = time.monotonic() + wait_s
        for name in self.entries:
            while not await self.is_ready(name):
                if time.monotonic() > until:
                    raise CannotRun(f'{name} is not ready')
                await asyncio.sleep(0.1)

    async def up(self, config, servers):
        if not os.path.exists(PROGRAM):
            raise CannotRun('the program is not built')
        for name in self.controls:
            self.start(name, founding=True)
        for name in self.entries:
            self.start(name)
        if await self.put(config) != 200:
            raise CannotRun('the first configuration was not acknowledged')
        self.servers = servers
        for server in servers:
            await server.start()
        await self.wait_ready()

    async def request(self, entry, path, method='GET', fields=(), body=None,
                      deadline_ms=1000, wait_s=None):
        """A client's attempt: its id and reply."""
        self.requests += 1
        name = f'r{self.requests:06d}'
        at = self.address(entry, 'callers')
        self.record.line(f'{name} is sent to {entry}: {method} {path}')
        reply = await call(
            at, method, path,
            [('Host', 'site.example'), ('Request-Id', name),
             ('Deadline-Ms', deadline_ms),
             ('Authorization', f'Bearer {KEY}'), *fields], body,
            wait_s or deadline_ms / 1000 + 0.5)
        self.record.line(f'{name} is answered: {reply.status or "nothing"}')
        return name, reply

    async def down(self):
        for server in self.servers:
            await server.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record.file.close()
        if os.environ.get('KEEP_SITE'):
            print(f'kept: {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class KeptClient:
    """Sends one request after the other on a connection that it keeps."""
    lost = []   # (request id, entry): from a kept connection, without answer

    def __init__(self, site, entry, path, body, pause_s):
        self.site, self.entry, self.path = site, entry, path
        self.body, self.pause_s = body, pause_s

    async def run(self, until, after_s=0.0):
        record = self.site.record
        await asyncio.sleep(after_s)
        while record.now() < until:
            try:
                await self.use_connection(until)
            except OSError:
                await asyncio.sleep(0.2)

    async def use_connection(self, until):
        site, record = self.site, self.site.record
        host, port = site.address(self.entry, 'callers').split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        kept = False
        try:
            while record.now() < until:
                site.requests += 1
                name = f'r{site.requests:06d}'
                writer.write(
                    f'POST {self.path} HTTP/1.1\r\nHost: site.example\r\n'
                    f'Request-Id: {name}\r\nDeadline-Ms: 12000\r\n'
                    f'Authorization: Bearer {KEY}\r\n'
                    f'Content-Length: {len(self.body)}\r\n\r\n'.encode()
                    + self.body)
                await writer.drain()
                record.line(f'{name} is sent to {self.entry}: {self.path}')
                try:
                    line, fields = await read_head(reader)
                    _, whole = await read_body(reader, fields, False)
                except (OSError, asyncio.IncompleteReadError):
                    line, whole = '', False
                record.line(f'{name} is answered: {line[9:12] or "nothing"}'
                            + ('' if whole else ', not whole'))
                if not whole:
                    if kept:
                        KeptClient.lost.append((name, self.entry))
                    return
                kept = True
                await asyncio.sleep(self.pause_s)
        finally:
            writer.transport.abort()


def memory_mb(site, name):
    with open(f'/proc/{site.processes[name].pid}/status') as f:
        for line in f:
            if line.startswith('VmRSS'):
                return int(line.split()[1]) / 1024
    return 0


async def platform(site, most):
    """Kills a process that uses more than its memory, MEMORY_MB, and starts it
    again after a short delay. Writes into `most` how much each used, and how
    many ended."""
    ends = 0
    while True:
        await asyncio.sleep(0.02)
        for name in site.entries:
            now = memory_mb(site, name)
            most[name] = max(most.get(name, 0), now)
            if now > MEMORY_MB:
                site.record.say(f'{name} uses {now:.0f} MB of {MEMORY_MB} and '
                                'is killed')
                site.kill(name)
                ends += 1
                most['ends'] = ends
                await asyncio.sleep(0.5)
                site.start(name)


def run_case(folder, case, **sizes):
    """Runs `case(site)`, which returns HELD or BROKEN, and exits."""
    async def play():
        site = Site(folder, **sizes)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(case(site), 105)
        except asyncio.CancelledError:
            site.record.say('the case was ended from outside')
            return NOT_RUN
        except Exception as fault:  # any other outcome says nothing of the rule
            site.record.say(f'the case could not run: {fault!r}')
            return NOT_RUN
        finally:
            await site.down()

    logging.getLogger('asyncio').setLevel(logging.CRITICAL)
    try:
        result = asyncio.run(play())
    except (CannotRun, OSError) as fault:
        print(f'the case could not run: {fault!r}')
        result = NOT_RUN
    sys.exit(result)
