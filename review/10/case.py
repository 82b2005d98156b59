"""The last write of an instance that is stopped is performed late, between the
read and the first write of its successor. Returned tokens are counted twice."""
import asyncio
import base64
import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "standins-2"))
import dm  # noqa: E402

PREPAID = 1000000
PROMPT, OUTPUT, STRIDE = 10000, 60, 6
RESTART_AFTER_S = 1.0
# When the two writes that get no answer are performed.
FIRST_LATE_S, SECOND_LATE_S = 2.1, 5.0


async def main(record, folder, trouble, gateways):
    used = {"in": 0, "out": 0}
    ran = set()

    async def handle(engine, request, writer):
        prompt, output = map(
            int, dm.get(request.headers, "token-count").split(","))
        engine.run(request)
        if request.id not in ran:
            ran.add(request.id)
            used["in"] += prompt
        await dm.stream(engine, request, writer, output // STRIDE)
        return True

    store = dm.Store(record)
    await store.start()
    for i in range(2):
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
    await asyncio.sleep(3)

    is_stopping = False
    has_lost = set()

    def lose(change):
        for put in change.get("put", []):
            if put["table"] == "prepaid" and put["part"].startswith("instance"):
                row = json.loads(base64.b64decode(put["value"]))
                break
        else:
            return None
        is_return = not row["shares"]
        if (not is_stopping or row["process"] in has_lost or
                len(has_lost) == 2 or (not has_lost and not is_return)):
            return None
        has_lost.add(row["process"])
        if not trouble:
            return None
        late = FIRST_LATE_S if len(has_lost) == 1 else SECOND_LATE_S
        record("store: the answer to a write of %s is lost, it is performed "
               "%.1f s later: %s" % (row["process"], late, json.dumps(row)))
        return late

    store.lose = lose
    record("SIGTERM to %s" % gateway.name)
    is_stopping = True
    gateway.signal(signal.SIGTERM)
    record("%s ended with %s" % (gateway.name, await gateway.wait_end()))
    await asyncio.sleep(RESTART_AFTER_S)
    record("%s starts again" % gateway.name)
    gateway.start()
    await gateway.wait_ready()
    await asyncio.sleep(6)

    refused = 0
    for _ in range(300):
        attempt = dm.new_id()
        answer = await dm.call(
            gateway.address, "POST", "/gen/x",
            dm.model_headers(attempt, PROMPT, OUTPUT), b"q" * 100)
        record("client sends %s: %s" % (attempt, answer))
        if answer.status == 200:
            used["out"] += answer.body.count(b"\n\n") * STRIDE
        elif answer.status == 402:
            refused += 1
            if refused == 3:
                break
        else:
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
