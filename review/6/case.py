"""A part of prompts that crashes engines, beside sound prompts with the same
first part, whose callers are quiet for four seconds."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import lab  # noqa: E402

FIRST_PART = "5c1e07a2:400"
BAD_PART = "badc0de1:400"
STABILITY_S = 3.0


async def main(deployment, trouble):
    record = deployment.record
    await deployment.store.start()
    deployment.configure({
        "Version": 7, "Limits": lab.LIMITS, "Tenants": lab.TENANTS,
        "Services": [lab.llm_service("huvo11a")],
        "Routes": [lab.route("r-notes", "/lohu930/", "streaming", "huvo11a",
                             attempts=2, resumable=True, sticky=True)]})
    crashes = []

    async def behave(engine, request, writer):
        engine.note_run(request)
        if trouble and "badc0de1" in request.get("X-Prompt-Prefix"):
            await asyncio.sleep(0.05)
            crashes.append(lab.now())
            engine.crash(back_after=3)
            return False
        return await lab.stream(engine, request, writer, 10, 0.02, 0.05)

    for _ in range(8):
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
    results = []  # (sent at, sound, status)

    async def ask(sound):
        host = random.choice(deployment.hosts)
        attempt = lab.attempt_id()
        parts = [FIRST_PART] + ([] if sound else [BAD_PART])
        parts.append("%08x:4000" % random.getrandbits(32))
        sent = lab.now()
        answer = await lab.call(host.front, "POST", "/lohu930/2f", [
            ("Host", "ficu95.example"), ("X-Attempt-Id", attempt),
            ("X-Model", "m"), ("X-Token-Counts", "4800,80"),
            ("X-Prompt-Prefix", ",".join(parts)),
            ("X-Remaining-Milliseconds", "10000"),
            ("Authorization", "Bearer " + lab.KEY)],
            b'{"question":"%s"}' % attempt.encode(), 10)
        status = answer.status if answer else 0
        began = any(run[1] == attempt for engine in deployment.engines
                    for run in engine.runs)
        results.append((sent, sound, status, began))
        record("%s request %s to host %d: status %d, reached an engine: %s" % (
            "sound" if sound else "bad", attempt, host.index, status,
            "yes" if began else "no"))

    tasks = []

    async def send(sound, count, gap):
        for _ in range(count):
            tasks.append(asyncio.create_task(ask(sound)))
            await asyncio.sleep(gap)

    await send(True, 40, 0.2)
    await asyncio.sleep(4)  # No caller has a question.
    # Bad prompts come one by one, until they crash no engine any more.
    for _ in range(5):
        await ask(False)
        await asyncio.sleep(0.5)
    last = crashes[-1] if crashes else lab.now()
    bad = asyncio.create_task(send(False, 40, 1))
    await asyncio.sleep(max(0, last + 2 * STABILITY_S + 0.5 - lab.now()))
    await send(True, 120, 0.2)
    await bad
    await asyncio.gather(*tasks)
    last = crashes[-1] if crashes else last
    before = [r for r in results if r[1] and (not crashes or
                                              r[0] < crashes[0])]
    after = [r for r in results if r[1] and r[0] > last + 2 * STABILITY_S]
    if not crashes:
        half = len(before) // 2
        before, after = before[:half], before[half:]
    served_before = sum(r[3] and r[2] == 200 for r in before)
    served_after = sum(r[3] and r[2] == 200 for r in after)
    text = "crashes %d; sound prompts served: %d of %d before, %d of %d after" \
        % (len(crashes), served_before, len(before), served_after, len(after))
    record(text)
    print(text)
    if len(before) < 20 or len(after) < 20 or served_before < 20:
        return 2
    broken = served_after / len(after) < 0.5 * served_before / len(before)
    return 1 if broken else 0


lab.run(main, FOLDER)
