"""A row of an instance is stored and its answer lost; the instance goes on by
the row before, and is killed. Its successor counts used tokens as unused."""
import asyncio
import base64
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-2"))
import dm  # noqa: E402

PREPAID = 6000000
STRIDE = 6
LONG = 40  # requests with a large maximum that end early, all at once
LONG_PROMPT, LONG_OUTPUT, LONG_S = 1000, 20000, 12.0
BURST, BURST_PROMPT, BURST_OUTPUT = 60, 12000, 100
LAST_PROMPT, LAST_OUTPUT = 50000, 60
KILL_AFTER_S = 0.4  # after the lost answer
RESTART_AFTER_S = 1.0
LOSES = os.environ.get("LOSES", "1") != "0"
KILLS = os.environ.get("KILLS", "1") != "0"


async def main(record, folder, trouble, gateways):
    used = {"in": 0, "out": 0}
    ran = set()
    counts = {"burst": 0}
    long_end = dm.now() + 1000

    async def handle(engine, request, writer):
        nonlocal long_end
        prompt, output = map(
            int, dm.get(request.headers, "token-count").split(","))
        engine.run(request)
        if request.id not in ran:
            ran.add(request.id)
            used["in"] += prompt
        if prompt == LONG_PROMPT:
            async def until_end():
                while dm.now() < long_end:
                    await asyncio.sleep(0.02)
            head = (b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    b"Attempt-Id: %s\r\nServer-Signature: s.1\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n" % request.id.encode())
            writer.write(head)
            i = 0
            while dm.now() < long_end or i == 0:
                i += 1
                data = b"id: %d\ndata: piece-%d\n\n" % (i, i)
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(min(1.0, max(0, long_end - dm.now())))
            writer.write(b"0\r\n\r\n")
            return True
        if prompt == BURST_PROMPT:
            counts["burst"] += 1
            await dm.stream(engine, request, writer, output // STRIDE, 0.2)
            return True
        await dm.stream(engine, request, writer, output // STRIDE)
        return True

    def count_output(data):
        used["out"] += data.count(b"\n\n") * STRIDE

    store = dm.Store(record)
    await store.start()
    for i in range(3):
        engine = dm.Engine(record, "i-%d" % i, dm.SERVICE, handle)
        await engine.start()
        store.put("servers", engine.name, engine.entry())
    store.put("op", "config", dm.configuration(
        [{"name": "tenant-a", "apiKeys": [dm.KEY], "priority": 1,
          "prepaid": PREPAID}]))
    gateway = dm.Gateway(folder, "front-a-1", store)
    gateways.append(gateway)
    gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(2)

    async def send(prompt, output, on_bytes=count_output):
        attempt = dm.new_id()
        answer = await dm.call(
            gateway.address, "POST", "/gen/x",
            dm.model_headers(attempt, prompt, output), b"q" * 100,
            on_bytes=on_bytes)
        record("client sends %s (%d,%d): %s" % (attempt, prompt, output, answer))
        return answer

    long_end = dm.now() + LONG_S
    longs = [asyncio.ensure_future(send(LONG_PROMPT, LONG_OUTPUT))
             for _ in range(LONG)]
    lost = asyncio.Event()
    await asyncio.gather(*longs)
    record("the %d long requests have ended" % LONG)

    def holder_row(change):
        for put in change.get("put", []):
            if put["table"] == "prepaid" and put["part"].startswith("instance"):
                return json.loads(base64.b64decode(put["value"]))
        return None

    def lose(change):
        row = holder_row(change)
        if row is None or lost.is_set():
            return None
        record("store: performs a transaction; row %s" % json.dumps(row))
        lost.set()
        return 0 if trouble and LOSES else None

    store.lose = lose
    await asyncio.wait_for(lost.wait(), 5)
    begin = dm.now()
    bursts = [asyncio.ensure_future(send(BURST_PROMPT, BURST_OUTPUT))
              for _ in range(BURST)]
    await asyncio.sleep(KILL_AFTER_S)
    record("%d of %d requests run by %.0f ms after the lost answer" %
           (counts["burst"], BURST, 1000 * (dm.now() - begin)))
    if trouble and KILLS:
        record("kill -9 %s" % gateway.name)
        gateway.signal(signal.SIGKILL)
        await gateway.wait_end()
        await asyncio.sleep(RESTART_AFTER_S)
        gateway.start()
        await gateway.wait_ready()
    await asyncio.gather(*bursts)
    record("tokens so far: %s" % used)
    refused = 0
    for _ in range(200):
        answer = await send(LAST_PROMPT, LAST_OUTPUT)
        if answer.status == 402:
            refused += 1
            if refused == 3:
                break
        elif answer.status != 200:
            await asyncio.sleep(0.2)
    if not refused:
        raise RuntimeError("the tenant's tokens were not used up")
    record("largest share of lost answers in 4.5 s: %.2f of %d writes" %
           store.largest_lost_share(4.5))
    total = used["in"] + used["out"]
    record("the tenant got %d input and %d output tokens of %d prepaid" %
           (used["in"], used["out"], PREPAID))
    print(total, PREPAID, flush=True)
    return total <= PREPAID


dm.run_case(main, os.path.dirname(os.path.abspath(__file__)))
