"""Long prompts wait for engines at the hosts, while the hosts are stopped and
started in turn."""
import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PROMPT_TOKENS = 180000  # consignment-review of akap-ring has 182,000 at the mean
DEADLINE_S = 15.0
SPACING_S = 0.6
REQUESTS = 75
FIRST_STOP_S = 6.0
STOP_GAP_S = 1.5
ROUNDS = 2  # each host is stopped once in each
ROUND_S = 21.0
GRACE_S = 8.0
LOSS_SLACK_S = 0.2


async def ask(record, site, random_source, number, results):
    """Sends one request to a host that a directory names at this moment."""
    attempt = "review-%d" % number
    addresses = []
    for host in random_source.sample(site.hosts, 3):
        addresses = await resolve(host)
        if addresses:
            break
    if not addresses:
        record.write("client of %s finds no host" % attempt)
        return
    address = random_source.choice(addresses)
    host = [h for h in site.hosts if h.front == address][0]
    client = Client(address)
    record.write("client sends %s to %s" % (attempt, host.name))
    answer = await client.ask(
        "POST", "/review/x", attempt, b"b" * 20000, remaining=int(DEADLINE_S * 1000),
        headers=[("X-Model", "m"), ("X-Token-Counts", "%d,650" % PROMPT_TOKENS),
                 ("X-Prompt-Prefix", "aa:40,%x:%d" % (number, PROMPT_TOKENS - 40))])
    client.close()
    record.write("client has %s: status %d, %s%s, %d events, %.3f s after it was sent" % (
        attempt, answer.status, "whole" if answer.complete else "not whole",
        " (%s)" % answer.error if answer.error else "", answer.body.count(b"id:"),
        answer.end_at - answer.sent_at))
    results[attempt] = (host, answer)


async def restart(record, host, stopped_at):
    """Stops one host as the platform does, and starts it again."""
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
    for _ in range(ROUNDS):
        round_end = now() + ROUND_S
        restarts = []
        for host in site.hosts:
            restarts.append(asyncio.ensure_future(restart(record, host, stopped_at)))
            await asyncio.sleep(STOP_GAP_S)
        await asyncio.gather(*restarts)
        await asyncio.sleep(max(round_end - now(), 0))


async def play():
    record = Record(os.path.join(HERE, "record.txt"))
    site = Site(record, hosts=6)
    site.route("/review/", "streaming", "ring-llm", timeout=15000, aim=4000, resumable=True)
    site.services[0]["Engine"] = dict(MODEL)
    site.engines = [ModelEngine(site.store, record, "ring-llm") for _ in range(2)]
    for engine in site.engines:
        engine.fleet = site.engines
    results, stopped_at = {}, {}
    random_source = random.Random(7)
    try:
        await site.start()
        if not await site.settled():
            record.write("the hosts did not become ready")
            return 2
        await asyncio.sleep(2)
        rolling = asyncio.ensure_future(roll(record, site, stopped_at) if TROUBLE
                                        else asyncio.sleep(0))
        tasks = []
        for number in range(1, REQUESTS + 1):
            tasks.append(asyncio.ensure_future(ask(record, site, random_source, number, results)))
            await asyncio.sleep(SPACING_S)
        await asyncio.gather(*tasks)
        await rolling
        return judge(record, site, results, stopped_at)
    finally:
        site.stop()


def judge(record, site, results, stopped_at):
    """LOST: a whole request was read, no engine was ever at work on it, and its
    connection ended without an answer, later than LossSlackMs after it was sent
    and before its deadline."""
    broken = 0
    ran = {run[1] for engine in site.engines for run in engine.runs}
    for attempt, (host, answer) in sorted(results.items()):
        lasted = answer.end_at - answer.sent_at
        is_cut = not answer.complete and LOSS_SLACK_S < lasted < DEADLINE_S
        if not is_cut or attempt in ran:
            continue
        broken += 1
        stop = max([t for t in stopped_at.get(host, []) if t < answer.end_at], default=0)
        record.write("LOST: %s was sent to %s %.3f s before its SIGTERM, no engine ever got it, and "
                     "its connection ended without an answer after %.3f s" % (
                         attempt, host.name, stop - answer.sent_at, lasted))
    record.write("rule broken" if broken else "rule held")
    return 1 if broken else 0


sys.exit(run_case(play))
