"""A control instance loses power right after it has acknowledged that servers
leave; entry instances go on sending to one of them."""
import asyncio
import os
import signal
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from site_kit import (BROKEN, CannotRun, DRAIN_S, HELD, STABLE_WINDOW_S,  # noqa: E402
                      Server, run_case)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'  # 0: no disruption
DOWN_S = 3.0     # as long as the site file keeps a machine dark
SERVED_ON_S = 9.0  # by a server that leaves, from its acknowledgement
MARGIN_S = 0.2
KILL_S = 0.004  # after_ack_kill: from the acknowledgement at most
SERVERS, LEAVING = 13, 2  # a share of 0.154; the site file has up to 0.179


def leave(address, name):
    """The call of a server that leaves, made ready: sends it and returns its
    status."""
    host, port = address.rsplit(':', 1)
    s = socket.create_connection((host, int(port)), 2)
    s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    text = (f'DELETE /api/instances/{name} HTTP/1.1\r\nHost: {address}\r\n'
            'Content-Length: 0\r\n\r\n').encode()
    return s, text


def leave_all(site, control, servers):
    """The servers leave together. Kills the control instance once it has
    acknowledged the last. Returns the times of the acknowledgements."""
    calls = [(server, *leave(server.control, server.id)) for server in servers]
    for _, s, text in calls:
        s.sendall(text)
    times = {}
    for server, s, _ in calls:
        if b' 200 ' not in s.recv(4096):
            raise CannotRun('a leaving server was not acknowledged')
        times[server.id] = site.record.now()
    if TROUBLE:
        os.kill(site.processes[control].pid, signal.SIGKILL)
        after_s = site.record.now() - max(times.values())
        site.processes[control].wait()
        site.record.line(f'{control} is killed {1000 * after_s:.2f} ms after '
                         'the last acknowledgement')
        if after_s > KILL_S:
            raise CannotRun('the loss of power came too late')
        # Only who was acknowledged within the limit is counted.
        times = {name: at for name, at in times.items()
                 if max(times.values()) + after_s - at <= KILL_S}
    for server, s, _ in calls:
        if server.id in times:
            site.record.line(f'the leaving of {server.id} was acknowledged at '
                             f'{times[server.id]:.4f}')
        s.close()
    return times


async def client(site, entry, until, unsafe):
    path, method = ('/notice/x', 'POST') if unsafe else ('/quote/x', 'GET')
    body = b'notice' if unsafe else None
    failed = 0
    while site.record.now() < until:
        _, reply = await site.request(entry, path, method, body=body)
        failed += reply.status != 200
        await asyncio.sleep(0.03)
    return failed


async def case(site):
    config = site.config([site.route('quote', 'safe', 'web'),
                          site.route('notice', 'unsafe', 'web',
                                     MaxAttempts=1)],
                         [site.service('web')])
    control = site.controls[4]
    servers = [Server(site, f'web-{i}', 'web', slots=6) for i in range(SERVERS)]
    for server in servers:
        server.home = site.address(control, 'control')
    await site.up(config, servers)
    await asyncio.sleep(STABLE_WINDOW_S + 1)
    now = site.record.now()
    clients = [asyncio.create_task(
        client(site, e, now + SERVED_ON_S + 2, unsafe))
               for e in site.entries for unsafe in (False, True)]
    await asyncio.sleep(1.0)
    leaving = servers[:LEAVING]
    for server in leaving:
        server.beats = False
        server.task.cancel()
        if server.control != site.address(control, 'control'):
            raise CannotRun('a heartbeat failed')
    times = await asyncio.get_running_loop().run_in_executor(
        None, leave_all, site, control, leaving)
    calm = max(times.values()) + STABLE_WINDOW_S
    if TROUBLE:
        await asyncio.sleep(DOWN_S)
        site.start(control)
        calm = site.record.now() + STABLE_WINDOW_S
    await asyncio.sleep(max(times.values()) + SERVED_ON_S - site.record.now())
    for server in leaving:
        await server.stop()
    failed = sum(await asyncio.gather(*clients))
    late = []
    for server in [s for s in leaving if s.id in times]:
        after = max(times[server.id] + DRAIN_S, calm) + MARGIN_S
        late += [(at, name, server.id) for at, name in server.arrivals
                 if at > after]
    for at, name, where in late[:5]:
        site.record.say(f'{name} reached {where} at {at:.3f}, '
                        f'{at - times[where]:.3f} s after its leaving was '
                        'acknowledged')
    site.record.say(f'{len(late)} requests reached servers that had left; '
                    f'{failed} requests got no success')
    return BROKEN if late else HELD


run_case(HERE, case)
