"""Three engines crash while prompts are read that share a first part, after
their callers were quiet for four seconds. Then all hosts are killed once."""

import asyncio
import collections
import os
import random
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import lab  # noqa: E402

ENGINES = 20
CRASHED = 3  # 0.15 of the engines
CRASH_FOR_S = 4.5
RECOVERY_S = 12.0
FIRST_PART = "5c1e07a2:40"
FIRST_EVENT_S = 0.4


async def main(deployment, trouble):
    record = deployment.record
    await deployment.store.start()
    configuration = {
        "Version": 7, "Limits": lab.LIMITS, "Tenants": lab.TENANTS,
        "Services": [lab.llm_service("huvo11a")],
        "Routes": [lab.route("r-query", "/lohu930/", "streaming", "huvo11a",
                             attempts=2, resumable=True, sticky=True,
                             target=300, gap=250)]}
    deployment.configure(configuration)

    async def behave(engine, request, writer):
        engine.note_run(request)
        return await lab.stream(engine, request, writer, 10, 0.05,
                                FIRST_EVENT_S)

    for _ in range(ENGINES):
        engine = lab.Engine(deployment.net, deployment.store, "huvo11a",
                            record, behave)
        await engine.start()
        deployment.engines.append(engine)
    for host in deployment.hosts:
        host.start()
    for host in deployment.hosts:
        if not await deployment.ready(host):
            return 2
    await asyncio.sleep(2)

    async def ask():
        host = random.choice(deployment.hosts)
        attempt = lab.attempt_id()
        answer = await lab.call(host.front, "POST", "/lohu930/2f", [
            ("Host", "ficu95.example"), ("X-Attempt-Id", attempt),
            ("X-Model", "m"), ("X-Token-Counts", "5000,340"),
            ("X-Prompt-Prefix", "%s,%08x:4960" % (
                FIRST_PART, random.getrandbits(32))),
            ("X-Remaining-Milliseconds", "10000"),
            ("Authorization", "Bearer " + lab.KEY)],
            b'{"question":"%s"}' % attempt.encode(), 10)
        status = answer.status if answer else 0
        record("request %s to host %d: status %d" % (
            attempt, host.index, status))
        return status == 200

    async def send(count, gap):
        tasks = []
        for _ in range(count):
            tasks.append(asyncio.create_task(ask()))
            await asyncio.sleep(gap)
        return sum(await asyncio.gather(*tasks)), count

    served_before, sent_before = await send(40, 0.25)
    record("%d of %d served" % (served_before, sent_before))
    await asyncio.sleep(4)  # No caller has a question.
    burst_at = lab.now()
    burst = asyncio.create_task(send(24, 0.0))
    await asyncio.sleep(0.2)
    if trouble:
        running = collections.Counter(
            engine for engine in deployment.engines for run in engine.runs
            if run[0] > burst_at)
        for engine, _ in running.most_common(CRASHED):
            engine.crash(back_after=CRASH_FOR_S)
    served, sent = await burst
    record("%d of %d served beside the crash" % (served, sent))
    await asyncio.sleep(8)
    served_later, sent_later = await send(20, 0.25)
    record("%d of %d served after all engines are back" % (
        served_later, sent_later))
    # The final fault comes right after a configuration is acknowledged.
    deployment.configure(dict(configuration, Version=8))
    if trouble:
        for host in deployment.hosts:
            host.signal(signal.SIGKILL)
        await asyncio.sleep(1)
        for host in deployment.hosts:
            host.process.wait()
            host.start()
    back_at = lab.now()
    for host in deployment.hosts:
        if not await deployment.ready(host):
            return 2
    await asyncio.sleep(max(0, back_at + RECOVERY_S + 1 - lab.now()))
    served_after, sent_after = await send(60, 0.25)
    text = ("served: %d of %d before, %d of %d beside the crash, %d of %d "
            "after it, %d of %d later than %g s after the final fault" % (
                served_before, sent_before, served, sent, served_later,
                sent_later, served_after, sent_after, RECOVERY_S))
    record(text)
    print(text)
    if served_before * 4 < sent_before:
        return 2
    return 1 if served_after * 4 < sent_after else 0


lab.run(main, FOLDER)
