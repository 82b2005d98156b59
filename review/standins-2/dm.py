"""Stand-ins of the users' platform, of engines and of clients, and helpers that
start real gateways. Python 3 standard library only; loopback addresses only."""
import asyncio
import base64
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "review.example"
KEY = "review-key-0123456789"
SERVICE = "model-a"
PLAIN = "app-a"


def now():
    return time.monotonic()


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


def loopback_host():
    """A loopback address of its own, as each machine has one: the metrics port
    of the deploy file is fixed."""
    return "127.%d.%d.%d" % (random.randint(10, 250), random.randint(1, 250),
                             random.randint(2, 250))


def end_with_parent():
    """Called in a child: it is killed when the process that started it ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # 1 is PR_SET_PDEATHSIG


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (now() - self.start, text))
        self.file.flush()


class Broken(Exception):
    pass


async def read_head(reader):
    """Returns (first line, headers as a list of pairs)."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def get(headers, name, default=None):
    for key, value in headers:
        if key == name.lower():
            return value
    return default


async def read_chunked(reader, on_bytes=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]
        if on_bytes:
            on_bytes(data[:-2])


# --- The platform's store -------------------------------------------------


class Store:
    """The platform's store as PROTOCOL.md tells it: linearizable, nothing
    acknowledged is lost. `lose` is asked about each transaction; if it returns
    a number, the transaction is done so many seconds later, if its condition
    still holds, and its connection delivers nothing further."""

    def __init__(self, record, answer_s=0.004):
        self.record = record
        self.host = "127.0.0.1"
        self.answer_s = answer_s
        self.rows = {}
        self.version = 100
        self.history = []
        self.lose = lambda change: None
        self.writes = []  # when each came, and whether its answer was lost
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value, part=""):
        self.version += 1
        self._store((table, part, key), json.dumps(value).encode(), False)
        self._notify()

    def remove(self, table, key, part=""):
        self.version += 1
        self._store((table, part, key), b"", True)
        self._notify()

    def value(self, table, part, key):
        row = self.rows.get((table, part, key))
        return json.loads(row[0]) if row and not row[2] else None

    def _store(self, key, value, deleted):
        self.rows[key] = (value, self.version, deleted)
        self.history.append((key, self.rows[key]))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def _json(key, row):
        item = {"table": key[0], "part": key[1], "key": key[2],
                "rowVersion": row[1]}
        if row[2]:
            item["tombstone"] = True
        else:
            item["value"] = base64.b64encode(row[0]).decode()
        return item

    def _answer(self, **fields):
        return {"rowVersion": self.version, "nowMs": int(now() * 1000),
                **fields}

    async def serve(self, reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(
                    int(get(headers, "content-length", "0")))
                method, target, _ = line.split(" ")
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query))
                if url.path == "/api/rows-tx":
                    result = await self.commit(json.loads(body))
                elif url.path == "/api/rows-get":
                    result = await self.read(query)
                elif url.path == "/api/rows-feed":
                    result = await self.feed(query)
                else:
                    result = (404, {})
                if result is None:  # the answer is lost
                    await reader.read()
                    return
                text = json.dumps(result[1]).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n" %
                             (result[0], len(text)) + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def apply(self, change):
        """Returns (status, body)."""
        key_of = lambda i: (i["table"], i.get("part", ""), i["key"])
        rows, conflict = [], False
        for item in change.get("expectedRevision", []):
            row = self.rows.get(key_of(item))
            exists = row is not None and not row[2]
            conflict |= item["rowVersion"] != (row[1] if exists else 0)
            if exists:
                rows.append(self._json(key_of(item), row))
        if conflict:
            return 412, self._answer(rows=rows)
        self.version += 1
        for item in change.get("put", []):
            self._store(key_of(item), base64.b64decode(item["value"]), False)
        for item in change.get("remove", []):
            self._store(key_of(item), b"", True)
        self._notify()
        return 200, self._answer()

    async def commit(self, change):
        await asyncio.sleep(self.answer_s / 2)
        late = self.lose(change)
        self.writes.append((now(), late is not None))
        if late is not None:
            if late > 0:
                asyncio.get_running_loop().call_later(
                    late, self._apply_late, change)
            else:
                self._apply_late(change)
            return None
        result = self.apply(change)
        await asyncio.sleep(self.answer_s / 2)
        return result

    def largest_lost_share(self, window_s):
        """The largest share of lost answers in a window that begins with one,
        and the writes in that window."""
        shares = [(0.0, 0)]
        for begin, is_lost in self.writes:
            inside = [lost for at, lost in self.writes
                      if begin <= at < begin + window_s]
            if is_lost:
                shares.append((sum(inside) / len(inside), len(inside)))
        return max(shares)

    def _apply_late(self, change):
        status, _ = self.apply(change)
        self.record("store: a call that got no answer is performed now: %s"
                    % ("done" if status == 200 else "condition fails"))

    async def read(self, query):
        await asyncio.sleep(self.answer_s / 2)
        rows, more = [], False
        limit = int(query.get("limit", "500"))
        for key in sorted(self.rows):
            row = self.rows[key]
            if (key[0] != query["table"] or key[1] != query.get("part", "") or
                    key[2] < query.get("from", "") or row[2]):
                continue
            if len(rows) >= limit:
                more = True
                break
            rows.append(self._json(key, row))
        result = self._answer(rows=rows, morePages=more)
        await asyncio.sleep(self.answer_s / 2)
        return 200, result

    async def feed(self, query):
        after = int(query["afterRevision"])
        end = now() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            rows = [self._json(k, r) for k, r in self.history
                    if k[0] == query["table"] and r[1] > after]
            left = end - now()
            if rows or left <= 0:
                return 200, self._answer(rows=rows)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# --- Engines ---------------------------------------------------------------


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        self.id = get(headers, "attempt-id", "")


class Engine:
    """An engine. `handler(engine, request, writer)` answers one request and
    returns whether the connection is kept."""

    def __init__(self, record, name, service, handler, slots=64):
        self.record, self.name, self.service = record, name, service
        self.handler, self.slots = handler, slots
        self.host = loopback_host()
        self.born = int(time.time() * 1000)
        self.runs = []
        self.connections = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="ready"):
        return {"service": self.service, "version": "v1", "zone": "here-a",
                "address": "%s:%d" % (self.host, self.port),
                "slots": self.slots, "state": state, "coldRemainingMs": 0,
                "sequence": 1, "born": self.born}

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                if get(headers, "transfer-encoding"):
                    body = await read_chunked(reader)
                else:
                    body = await reader.readexactly(
                        int(get(headers, "content-length", "0")))
                method, target, _ = line.split(" ")
                if target == "/api/report":
                    reply(writer, 200, json.dumps(
                        {"stage": "both", "models": [], "busy": False,
                         "sequence": 1, "waiting": 0, "running": 0,
                         "born": self.born}).encode(), [])
                    continue
                if target == "/health":
                    reply(writer, 200, b"", [("Instance-Id", self.name)])
                    continue
                request = Request(method, target, headers, body)
                if not await self.handler(self, request, writer):
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def run(self, request):
        """The engine begins to work on the request."""
        self.runs.append(request)
        self.record("engine %s runs %s %s" %
                    (self.name, request.id, request.target))


def reply(writer, status, body, headers):
    head = "HTTP/1.1 %d X\r\n" % status
    for name, value in headers:
        head += "%s: %s\r\n" % (name, value)
    head += "Content-Length: %d\r\n\r\n" % len(body)
    writer.write(head.encode() + body)


def signed(engine, request):
    return [("Attempt-Id", request.id), ("Server-Signature", engine.name + ".1")]


async def stream(engine, request, writer, events, pause_s=0.0, on_event=None):
    """Answers with events of one stream; each holds `stride` tokens."""
    head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    for name, value in signed(engine, request):
        head += "%s: %s\r\n" % (name, value)
    writer.write(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n")
    for i in range(1, events + 1):
        data = b"id: %d\ndata: piece-%d-of-%s\n\n" % (i, i, request.id.encode())
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))
        await writer.drain()
        if on_event:
            on_event()
        if pause_s:
            await asyncio.sleep(pause_s)
    writer.write(b"0\r\n\r\n")


# --- Clients ---------------------------------------------------------------


class Answer:
    status = 0
    headers = ()
    body = b""
    complete = False
    error = ""

    def __str__(self):
        return "%d complete=%s %dB%s" % (
            self.status, self.complete, len(self.body),
            " " + self.error if self.error else "")


async def call(address, method, target, headers, body=b"", timeout=20.0,
               on_bytes=None, connection=None, keep=False):
    """One client attempt. Reads the answer as HTTP/1.1 tells."""
    answer = Answer()

    async def exchange():
        if connection and connection.get("pair"):
            reader, writer = connection["pair"]
        else:
            reader, writer = await asyncio.open_connection(*address)
        try:
            head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, HOST)
            text = head.encode()
            for name, value in headers:
                raw = value if isinstance(value, bytes) else value.encode()
                text += name.encode() + b": " + raw + b"\r\n"
            if body or method == "POST":
                text += b"Content-Length: %d\r\n" % len(body)
            writer.write(text + b"\r\n" + body)
            line, got = await read_head(reader)
            answer.status = int(line.split(" ")[1])
            answer.headers = got

            def take(data):
                answer.body += data
                if on_bytes:
                    on_bytes(data)

            if method == "HEAD" or answer.status in (204, 304):
                pass
            elif get(got, "transfer-encoding", "") == "chunked":
                await read_chunked(reader, take)
            elif get(got, "content-length") is not None:
                left = int(get(got, "content-length"))
                while left:
                    data = await reader.read(min(left, 65536))
                    if not data:
                        raise Broken("cut short")
                    left -= len(data)
                    take(data)
            else:
                take(await reader.read())
            answer.complete = True
            if connection is not None and keep:
                connection["pair"] = (reader, writer)
                return
        except BaseException:
            writer.close()
            raise
        writer.close()

    try:
        await asyncio.wait_for(exchange(), timeout)
    except asyncio.TimeoutError:
        answer.error = "no answer in time"
    except (Broken, ConnectionError, OSError, ValueError,
            asyncio.IncompleteReadError) as error:
        answer.error = type(error).__name__
    return answer


_ids = 0


def new_id():
    global _ids
    _ids += 1
    return "%08x%08x" % (random.getrandbits(32), _ids)


def model_headers(attempt, prompt, output, key=KEY, deadline=15000):
    part = attempt[:8]
    return [("Attempt-Id", attempt), ("Model", "m"),
            ("Token-Count", "%d,%d" % (prompt, output)),
            ("Prompt-Prefix", "5c1e07a2:100,%s:%d" % (part, prompt - 100)),
            ("Deadline-Milliseconds", str(deadline)),
            ("Authorization", "Bearer " + key)]


# --- Gateways --------------------------------------------------------------


class Gateway:
    """One machine: the program of the deploy file with a settings file."""

    def __init__(self, folder, name, store):
        self.folder, self.name, self.store = folder, name, store
        self.host = loopback_host()
        self.frontend = free_port(self.host)
        self.ready_port = free_port(self.host)
        self.peer = free_port(self.host)
        self.process = None
        self.boots = 0
        self.conf = os.path.join(folder, name + ".conf")
        with open(self.conf, "w") as file:
            file.write(SETTINGS.format(
                name=name, host=self.host, frontend=self.frontend,
                ready=self.ready_port, peer=self.peer, peer2=self.peer + 1,
                store="%s:%d" % (store.host, store.port)))

    @property
    def address(self):
        return (self.host, self.frontend)

    def start(self):
        self.boots += 1
        log = open(os.path.join(
            self.folder, "%s-%d.log" % (self.name, self.boots)), "w")
        self.process = subprocess.Popen(
            ["target/dandelion-gateway", "--settings", "deploy/gateway.json"],
            cwd=ROOT, stdout=log, stderr=log, preexec_fn=end_with_parent,
            env={"PATH": os.environ.get("PATH", ""),
                 "DANDELIONMILL_NODE_FILE": self.conf})

    async def is_ready(self):
        answer = await call((self.host, self.ready_port), "GET",
                            "/api/readiness", [], timeout=1)
        return answer.status == 200

    async def wait_ready(self, timeout=15):
        end = now() + timeout
        while now() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(self.name + " did not become ready")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_end(self, timeout=20):
        end = now() + timeout
        while self.process.poll() is None and now() < end:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()


SETTINGS = """nodeName={name}
role=gateway
machineClass=front
serves=front
ipAddress={host}
zone=here-a
region=here
zones.here-a=here
listen.frontend={host}:{frontend}
listen.ready={host}:{ready}
internalPortRange={peer},{peer2}
bootstrap=true
limits.cpuShare=0.25
limits.cores=1
limits.memoryMb=260
limits.fileDescriptors=4100
limits.linkMbps=1000.0
heartbeatIntervalMs=1200
bounds.stableWindowMs=3000
bounds.drainMs=2500
bounds.graceS=8
bounds.configPropagationMs=2500
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retryBudgetSlack=56
platform.address={store}
platform.form=table
"""


def route(prefix, kind, service, attempts=1, resumable=False, timeout=15000):
    return {"name": prefix, "host": HOST, "prefix": prefix, "kind": kind,
            "timeoutMs": timeout, "targetLatencyMs": 1000, "priority": 1,
            "service": service, "attempts": attempts, "public": False,
            "stickySessions": kind == "streaming", "resumable": resumable,
            "targetGapMs": 500}


def configuration(tenants, version=7, routes=None):
    return {
        "version": version,
        "routes": routes or [
            route("/gen/", "streaming", SERVICE),
            route("/pay/", "unsafe", PLAIN, timeout=2000),
            route("/look/", "safe", PLAIN, attempts=2, timeout=2000)],
        "services": [
            {"name": SERVICE, "healthPath": "/health", "connectionLimit": 370,
             "protocol": "h1", "tls": False,
             "engine": {"slots": 64, "kvCacheTokens": 575639, "stride": 6,
                        "models": [{"name": "m"}]}},
            {"name": PLAIN, "healthPath": "/health", "connectionLimit": 110,
             "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": tenants}


def run_case(main, case_folder):
    """Runs `main(record, folder, trouble)`, which returns whether the rule held,
    and exits with 0, 1 or 2."""
    record = Record(case_folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("TROUBLE=%d" % trouble)
    gateways = []
    status = 2
    keep = os.environ.get("KEEP")
    folder = os.environ.get("KEEP") or tempfile.mkdtemp()

    async def guarded():
        nonlocal status
        try:
            held = await asyncio.wait_for(
                main(record, folder, trouble, gateways), 110)
            status = 0 if held else 1
        except Exception as error:  # pylint: disable=broad-except
            record("could not run: %s: %s" % (type(error).__name__, error))
        finally:
            for gateway in gateways:
                gateway.kill()
            if folder != os.environ.get("KEEP"):
                shutil.rmtree(folder, ignore_errors=True)
            record("exit %d" % status)
            print("exit %d, see record.txt" % status, flush=True)
            # The stand-ins are tasks of this process and end with it.
            os._exit(status)

    asyncio.run(guarded())
