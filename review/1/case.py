"""Clients stream answers of some four seconds while all hosts are stopped and
started in turn, two at a time."""
import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLIENTS = 60
PLAY_S = 34.0
FIRST_STOP_S = 6.0
STOP_GAP_S = 1.0
AT_A_TIME = 2
GRACE_S = 8.0
DEADLINE_S = 10.0
ALLOWED_AFTER_SIGTERM_S = 3.0


class Directory:
    """What one client knows of the hosts. It keeps an answer for its TtlS (1 s
    here), some clients for three times as long, and longer while it gets none."""

    def __init__(self, site, random_source, keep_s):
        self.site, self.random, self.keep_s = site, random_source, keep_s
        self.addresses, self.until = [], 0.0

    async def pick(self):
        if now() >= self.until:
            for host in self.random.sample(self.site.hosts, 3):
                found = await resolve(host, timeout=1.0)
                if found:
                    self.addresses, self.until = found, now() + self.keep_s
                    break
        return self.random.choice(self.addresses) if self.addresses else None


async def client_loop(record, site, number, end, results):
    random_source = random.Random(number)
    directory = Directory(site, random_source, 3.0 if number % 25 == 0 else 1.0)
    await asyncio.sleep(random_source.random() * 2)
    count = 0
    while now() < end:
        address = await directory.pick()
        if not address:
            await asyncio.sleep(0.2)
            continue
        count += 1
        attempt = "q-%d-%d" % (number, count)
        host = [h for h in site.hosts if h.front == address][0]
        client = Client(address)
        answer = await client.ask("POST", "/query/x", attempt, b"b" * 1200,
                                  remaining=int(DEADLINE_S * 1000))
        client.close()
        record.write("client has %s from %s: status %d, %s, %.3f s after it was sent" % (
            attempt, host.name, answer.status, "whole" if answer.complete else "not whole",
            answer.end_at - answer.sent_at))
        results.append((attempt, host, answer))
        await asyncio.sleep(random_source.random() if answer.status == 200 else 0.3)


async def restart(record, host, stopped_at):
    stopped_at.setdefault(host, []).append(now())
    host.signal(signal.SIGTERM)
    while host.process.poll() is None:
        if now() > stopped_at[host][-1] + GRACE_S:
            host.signal(signal.SIGKILL)
            host.process.wait()
            break
        await asyncio.sleep(0.02)
    record.write("%s has ended with %s, %.3f s after its SIGTERM" % (
        host.name, host.process.returncode, now() - stopped_at[host][-1]))
    await asyncio.sleep(0.2)
    host.start()


async def roll(record, site, stopped_at):
    await asyncio.sleep(FIRST_STOP_S)
    restarts = []
    for index, host in enumerate(site.hosts):
        restarts.append(asyncio.ensure_future(restart(record, host, stopped_at)))
        if index % AT_A_TIME == AT_A_TIME - 1:
            await asyncio.sleep(STOP_GAP_S)
    await asyncio.gather(*restarts)


async def play():
    record = Record(os.path.join(HERE, "record.txt"))
    site = Site(record, hosts=6)
    site.route("/query/", "streaming", "ring-llm", timeout=10000, aim=300, resumable=True)
    site.engines = [StreamingEngine(site.store, record, "ring-llm", events=38, gap=0.1, first=0.15)
                    for _ in range(14)]
    results, stopped_at = [], {}
    try:
        await site.start()
        if not await site.settled():
            record.write("the hosts did not become ready")
            return 2
        await asyncio.sleep(2)
        end = now() + PLAY_S
        rolling = asyncio.ensure_future(roll(record, site, stopped_at) if TROUBLE
                                        else asyncio.sleep(0))
        await asyncio.gather(*[client_loop(record, site, n, end, results) for n in range(CLIENTS)])
        await rolling
        return judge(record, site, results, stopped_at)
    finally:
        site.stop()


def judge(record, site, results, stopped_at):
    """LOST: a request was passed on to an engine and its connection ended without
    a complete answer before the deadline. Not counted: requests that were sent no
    later than 3 s after the SIGTERM, as the engine was still at work on them in
    the last sixth of GraceS."""
    broken = 0
    ran = {run[1] for engine in site.engines for run in engine.runs}
    for attempt, host, answer in results:
        if answer.complete or attempt not in ran or answer.end_at - answer.sent_at >= DEADLINE_S:
            continue
        stop = max([t for t in stopped_at.get(host, []) if t < answer.end_at], default=None)
        if stop is not None and answer.sent_at <= stop + ALLOWED_AFTER_SIGTERM_S:
            continue
        broken += 1
        record.write("LOST: %s was sent to %s %s, an engine was at work on it, and the connection "
                     "ended in the answer after %.3f s" % (
                         attempt, host.name,
                         "%.3f s after its SIGTERM" % (answer.sent_at - stop) if stop else "(never stopped)",
                         answer.end_at - answer.sent_at))
    record.write("rule broken: %d requests" % broken if broken else "rule held")
    return 1 if broken else 0


sys.exit(run_case(play))
