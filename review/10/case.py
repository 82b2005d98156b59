"""An engine's failure without a length, cut by a crash, looks complete."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
STANDINS = os.path.join(HERE, "..", "standins-2")
sys.path.insert(0, STANDINS)
import dm  # noqa: E402
import engine_process  # noqa: E402

STATUS = int(os.environ.get("STATUS", "500"))  # 200: the gateway is careful


async def main(record, folder, trouble, gateways):
    store = dm.Store(record)
    await store.start()
    host = dm.loopback_host()
    port = dm.free_port(host)
    engine = await asyncio.create_subprocess_exec(
        sys.executable, os.path.join(STANDINS, "engine_process.py"), host,
        str(port), "i-0", str(STATUS), stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE, preexec_fn=dm.end_with_parent)
    is_killed = False
    try:
        await asyncio.wait_for(engine.stdout.readline(), 10)
        store.put("servers", "i-0", {
            "service": dm.PLAIN, "version": "v1", "zone": "here-a",
            "address": "%s:%d" % (host, port), "slots": 6, "state": "ready",
            "coldRemainingMs": 0, "sequence": 1,
            "born": int(time.time() * 1000)})
        store.put("op", "config", dm.configuration(
            [{"name": "tenant-a", "apiKeys": [dm.KEY], "priority": 1}]))
        gateway = dm.Gateway(folder, "front-a-1", store)
        gateways.append(gateway)
        gateway.start()
        await gateway.wait_ready()
        await asyncio.sleep(2)

        attempt = dm.new_id()
        record("client sends %s (unsafe)" % attempt)
        pending = asyncio.ensure_future(dm.call(
            gateway.address, "POST", "/pay/x",
            [("Attempt-Id", attempt), ("Deadline-Milliseconds", "2000"),
             ("Authorization", "Bearer " + dm.KEY)], b"q" * 100))
        line = await asyncio.wait_for(engine.stdout.readline(), 10)
        record("engine: %s of its answer %d is out" %
               (line.decode().strip(), STATUS))
        await asyncio.sleep(0.05)
        if trouble:
            engine.kill()
            is_killed = True
            record("the engine is killed")
        else:
            engine.stdin.write(b"go on\n")
        answer = await pending
    finally:
        if not is_killed:
            engine.kill()
        await engine.wait()
    record("client gets %s, headers %s, body %r" %
           (answer, list(answer.headers), answer.body))
    is_signed = dm.get(answer.headers, "server-signature") is not None
    is_whole = answer.body == engine_process.WHOLE
    record("signed: %s, complete to the client: %s, whole: %s" %
           (is_signed, answer.complete, is_whole))
    if not answer.status:
        raise RuntimeError("no answer")
    if not trouble and not (answer.status == STATUS and is_whole):
        raise RuntimeError("the whole answer did not arrive")
    return not (is_signed and answer.complete and not is_whole)


dm.run_case(main, HERE)
