"""Stand-ins of the platform, and processes of the gateway, for the cases 6 to 10.

The store, the runners and the clients speak what PROTOCOL.md says, on loopback
addresses. Only the Python standard library is used. A case subclasses `Runner`
where its runners behave in a way of their own.
"""

import asyncio
import json
import os
import pathlib
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line each, in record.txt."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self("trouble " + ("on" if TROUBLE else "off"))

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))
        self.file.flush()


def free_ports(count):
    """Ports that nothing uses at the moment."""
    sockets = []
    for _ in range(count):
        it = socket.socket()
        it.bind((HOST, 0))
        sockets.append(it)
    out = [it.getsockname()[1] for it in sockets]
    for it in sockets:
        it.close()
    return out


# HTTP ------------------------------------------------------------------------


class Message:
    """A request or an answer."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers  # list of pairs
        self.body = body

    def get(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])


async def read_head(reader):
    """Returns None if the connection ends before a message."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers.append((name, value.strip()))
    return Message(lines[0], headers)


async def read_chunks(reader, on_bytes):
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return
        on_bytes(data[:-2])


async def read_message(reader):
    out = await read_head(reader)
    if out is None:
        return None
    try:
        if out.get("Transfer-Encoding", "").lower() == "chunked":
            parts = []
            await read_chunks(reader, parts.append)
            out.body = b"".join(parts)
        elif out.get("Content-Length"):
            out.body = await reader.readexactly(int(out.get("Content-Length")))
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        return None
    return out


def encode(first, headers, body=b""):
    lines = [first] + ["%s: %s" % it for it in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def answer(status, headers=(), body=b""):
    return encode("HTTP/1.1 %d Status" % status,
                  list(headers) + [("Content-Length", str(len(body)))], body)


def json_answer(status, value):
    return answer(status, [("Content-Type", "application/json")],
                  json.dumps(value).encode())


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


class Server:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._serve, HOST, port, limit=1 << 20, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return "%s:%d" % (HOST, self.port)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        connection = Connection(reader, writer)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                await self.handle(request, connection)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def handle(self, request, connection):
        raise NotImplementedError

    def stop(self):
        if self.server is not None:
            self.server.close()
        for it in list(self.tasks):
            it.cancel()


class Connection:
    """What a server keeps of one connection."""

    count = 0

    def __init__(self, reader, writer):
        Connection.count += 1
        self.number = Connection.count
        self.reader = reader
        self.writer = writer
        self.kept = {}

    def write(self, data):
        self.writer.write(data)


# The platform's store --------------------------------------------------------


class Store(Server):
    """Lists, watches and conditional writes of objects. `refuse` can turn
    callers away."""

    def __init__(self):
        super().__init__()
        self.revision = 10
        self.objects = {}
        self.history = []  # (revision, kind, event)
        self.changed = asyncio.Event()
        self.refuse = False
        self.watch_bytes = 0  # of the largest answer to a watch

    def _note(self, kind, value, deleted):
        self.history.append((self.revision, kind,
                             {"deleted": deleted, "object": value}))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def put(self, kind, name, specification):
        self.revision += 1
        known = self.objects.setdefault(kind, {})
        created = known[name]["metadata"]["createdRev"] if name in known \
            else self.revision
        value = {"metadata": {"name": name, "revision": self.revision,
                              "createdRev": created, "finalizers": [],
                              "deleting": False},
                 "specification": specification, "status": None}
        known[name] = value
        self._note(kind, value, False)

    def remove(self, kind, name):
        value = self.objects.get(kind, {}).pop(name, None)
        if value is not None:
            self.revision += 1
            self._note(kind, value, True)

    async def handle(self, request, connection):
        if self.refuse:
            connection.write(json_answer(503, {}))
            return
        path, _, query = request.target.partition("?")
        parts = [urllib.parse.unquote(it) for it in path.split("/")][3:]
        args = dict(urllib.parse.parse_qsl(query))
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if request.method == "GET" and "watch" in args:
            await self._watch(kind, int(args["watch"]),
                              int(args.get("waitMs", 0)), connection)
        elif request.method == "GET" and name is None:
            items = [it for key, it in sorted(self.objects.get(kind, {}).items())
                     if key > args.get("after", "")]
            connection.write(json_answer(200, {
                "items": items, "truncated": False, "asOf": self.revision}))
        else:
            connection.write(self._write(request, kind, name, args))

    async def _watch(self, kind, since, wait_ms, connection):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [it[2] for it in self.history
                      if it[0] > since and it[1] == kind]
            left = end - time.monotonic()
            if events or left <= 0 or self.refuse:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        if self.refuse:
            connection.write(json_answer(503, {}))
            return
        data = json_answer(200, {"events": events, "asOf": self.revision})
        self.watch_bytes = max(self.watch_bytes, len(data))
        connection.write(data)

    def _write(self, request, kind, name, args):
        body = json.loads(request.body or b"{}")
        known = self.objects.get(kind, {})
        if request.method == "GET":
            return json_answer(200, known[name]) if name in known \
                else json_answer(404, {})
        if request.method == "POST":
            name = body["metadata"]["name"]
            if name in known:
                return json_answer(409, known[name])
        elif name not in known:
            return json_answer(404, {})
        revision = args.get("revision", body.get("metadata", {}).get("revision"))
        if revision and name in known and \
                int(revision) != known[name]["metadata"]["revision"]:
            return json_answer(409, known[name])
        if request.method == "DELETE":
            value = known[name]
            self.remove(kind, name)
            return json_answer(200, value)
        self.put(kind, name, body["specification"])
        return json_answer(200, self.objects[kind][name])


# Runners ---------------------------------------------------------------------


class Runner(Server):
    """A sound runner of a plain, a model or a stage service."""

    def __init__(self, record, store, name, service, slots=4):
        super().__init__()
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.slots = slots
        self.running = 0
        self.made = 0
        self.held = set()  # handles of results
        self.ran = []      # ids of requests that were run
        self.work_s = 0.02
        self.call_s = 0.2
        self.item_s = 0.0018

    async def start(self, port=0):
        await super().start(port)
        self.register()

    def register(self, state="ready"):
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": "north",
            "version": "v1", "slots": self.slots, "state": state,
            "coldRemainingMs": 0, "sequence": 1, "born": 1700000000000})

    async def handle(self, request, connection):
        expected = request.get("X-Expect-Instance")
        if expected is not None and expected != self.name:
            connection.write(answer(421, [("X-Instance-Id", self.name)]))
        elif request.target == "/-/stage-run":
            await self.run_pieces(request, connection)
        elif request.target == "/-/stage-free":
            await self.free_results(request, connection)
        else:
            await self.run_request(request, connection)

    def load(self):
        return ("X-Instance-Load", "%d,0,%d" % (self.running, self.slots))

    async def run_pieces(self, request, connection):
        items = json.loads(request.body)["items"]
        await asyncio.sleep(self.call_s + self.item_s * len(items))
        results = []
        for it in items:
            results.append(self.make_result(it))
        connection.write(json_answer(200, {"items": results}))

    def make_result(self, item):
        self.made += 1
        handle = "%s/%s%d" % (self.address, self.name, self.made)
        self.held.add(handle)
        return {"handle": handle}

    async def free_results(self, request, connection):
        for it in json.loads(request.body)["handles"]:
            self.held.discard(it)
        connection.write(json_answer(200, {}))

    def seal(self, request):
        return [("X-Request-Id", request.get("X-Request-Id", "")),
                ("X-Response-Seal", "s." + request.get("X-Request-Id", "")),
                self.load()]

    async def run_request(self, request, connection):
        self.ran.append(request.get("X-Request-Id"))
        self.record("run %s at %s" % (request.get("X-Request-Id"), self.name))
        await asyncio.sleep(self.work_s)
        connection.write(answer(200, self.seal(request), b"ok"))


# Gateway processes -----------------------------------------------------------


def settings_text(name, ports, store, memory_mb, bounds):
    values = {
        "nodeName": name, "role": "gateway", "machineClass": "frontend",
        "serves": "frontend", "ipAddress": HOST, "zone": "north",
        "region": "region", "zones.north": "region",
        "listenAddresses.frontend": "%s:%d" % (HOST, ports[0]),
        "listenAddresses.ready": "%s:%d" % (HOST, ports[1]),
        "internalPortRange": "%d,%d" % (ports[2], ports[2]),
        "seedNodes": "", "bootstrap": "true", "countsAsLoss": "false",
        "limits.cpuShare": "0.25", "limits.cpuCores": "1",
        "limits.memoryMb": str(memory_mb), "limits.fileDescriptors": "4100",
        "limits.linkMbps": "1000.0", "limits.diskMb": "0",
        "discovery": "platform", "entryKind": "virtual_ip",
        "heartbeatMs": "1200",
        "contracts": "base,drain,config,cost,retry,recover,engine,stream,"
                     "tenants,platform,stages",
        "faultTolerance.machines": "1", "faultTolerance.zones": "0",
        "faultTolerance.regions": "0",
        "bounds.seedLagS": "3", "bounds.addressReuseS": "2",
        "bounds.contactMs": "3000", "bounds.ackTimeoutMs": "4000",
        "bounds.catchUpS": "4", "bounds.drainTimeoutMs": "2000",
        "bounds.gracePeriodS": "8", "bounds.lossSlackMs": "200",
        "bounds.configApplyMs": "2000", "bounds.rollbackSlackMs": "250",
        "bounds.maxStretchMs": "5000", "bounds.failClosed": "false",
        "bounds.revocationMs": "5000", "bounds.retryBudgetRatio": "0.2",
        "bounds.budgetWindowS": "10", "bounds.retryBudgetSlack": "56",
        "bounds.recoveryS": "12", "bounds.passMs": "120",
        "bounds.reuseWindowS": "7",
        "platform.address": store, "platform.form": "objects",
        "platform.writesPerS": "400", "platform.readsPerS": "2000",
        "platform.historyS": "20", "platform.valueBytes": "1048576",
        "platform.ttlMinMs": "1000"}
    values.update(bounds)
    return "".join("%s=%s\n" % it for it in values.items())


def run_words():
    """The `run` line of the deploy file."""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        key, _, value = line.partition("=")
        if key.strip() == "run":
            return shlex.split(value.strip().strip('"'))
    raise CannotRun("no run line in deploy/system.toml")


class Gateway:
    """A gateway process, started with the command of the deploy file."""

    def __init__(self, record, folder, name, store_address, memory_mb=260,
                 bounds=None):
        self.record = record
        self.name = name
        self.ports = free_ports(3)
        self.memory_mb = memory_mb
        self.settings = pathlib.Path(folder) / (name + ".conf")
        self.log_path = pathlib.Path(folder) / (name + ".log")
        self.store_address = store_address
        self.process = None
        self.write_settings(bounds or {})

    def write_settings(self, bounds):
        self.settings.write_text(settings_text(
            self.name, self.ports, self.store_address, self.memory_mb, bounds))

    async def start(self):
        words = run_words()
        program = ROOT / words[0]
        if not program.exists():
            raise CannotRun("%s is not built" % words[0])
        env = {it: os.environ[it] for it in ("PATH", "HOME", "LANG")
               if it in os.environ}
        env["BUCKTHORNVALE_NODE_FILE"] = str(self.settings)
        log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            str(program), *words[1:], cwd=str(ROOT), env=env, stdout=log,
            stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.record("start gateway %s" % self.name)

    @property
    def pid(self):
        return self.process.pid

    def alive(self):
        return self.process is not None and self.process.returncode is None

    async def wait_ready(self, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if await is_ready(self.ports[1]):
                self.record("gateway %s is ready" % self.name)
                return
            await asyncio.sleep(0.05)
        raise CannotRun("gateway %s is not ready" % self.name)

    def memory(self):
        """Resident memory and its peak, in MB."""
        out = {}
        try:
            text = pathlib.Path("/proc/%d/status" % self.pid).read_text()
        except OSError:
            return 0.0, 0.0
        for line in text.splitlines():
            if line.startswith(("VmRSS:", "VmHWM:")):
                out[line[:5]] = int(line.split()[1]) / 1024
        return out.get("VmRSS", 0.0), out.get("VmHWM", 0.0)

    def signal(self, number):
        if self.alive():
            self.process.send_signal(number)

    async def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


async def is_ready(port):
    try:
        got = await call(port, "GET", "/-/readiness", [("Host", "ready")],
                         timeout=1)
    except (OSError, asyncio.TimeoutError):
        return False
    return got is not None and got.status == 200


# Clients ---------------------------------------------------------------------


async def call(port, method, target, headers, body=b"", timeout=30):
    """One request on a new connection. Returns None without a whole answer."""
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(HOST, port, limit=1 << 22), timeout)
    try:
        headers = list(headers)
        if body or method == "POST":
            headers.append(("Content-Length", str(len(body))))
        writer.write(encode("%s %s HTTP/1.1" % (method, target), headers, body))
        return await asyncio.wait_for(read_message(reader), timeout)
    except ConnectionError:
        return None
    finally:
        writer.close()


_ids = 0


def new_id(prefix="r"):
    global _ids
    _ids += 1
    return "%s%06d" % (prefix, _ids)


# Cases -----------------------------------------------------------------------


def run_case(folder, case):
    """Runs `case(record, folder)`, which returns true if the rule was broken,
    and exits as the issue asks."""
    work = tempfile.mkdtemp(prefix="buckthornvale-case-")
    record = Record(folder)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, work), 110))
        code = BROKEN if broken else HELD
    except CannotRun as e:
        record("cannot run: %s" % e)
        code = CANNOT_RUN
    except Exception as e:  # a fault of the case
        record("cannot run: %r" % e)
        if os.environ.get("CASE_DEBUG"):
            raise
        code = CANNOT_RUN
    finally:
        if os.environ.get("CASE_KEEP"):
            print(work)
        else:
            shutil.rmtree(work, ignore_errors=True)
    record("exit %d" % code)
    sys.exit(code)
