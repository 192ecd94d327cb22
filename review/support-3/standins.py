"""Stand-ins for the platform, the runners and the consumers of a case.

Every case starts real gateway processes on loopback addresses, next to a store,
runners and consumers written here from the users' pages.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "target/packages/gateway/buckthornvale-gateway"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def now():
    return time.monotonic()


class Record:
    """The file that tells what was sent, answered and run."""

    def __init__(self, folder):
        self.started = now()
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def write(self, text):
        self.file.write(f"{now() - self.started:8.3f} {text}\n")
        self.file.flush()


# --- HTTP/1.1 messages ------------------------------------------------------


class Message:
    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, fallback=""):
        return self.headers.get(name.lower(), fallback)

    @property
    def status(self):
        return int(self.first.split(" ", 2)[1])

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_body(reader, message, until_end):
    if message.header("transfer-encoding").lower() == "chunked":
        out = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return out
            out += chunk[:-2]
    length = message.header("content-length")
    if length:
        return await reader.readexactly(int(length))
    return await reader.read() if until_end else b""


async def read_request(reader):
    message = await read_head(reader)
    message.body = await read_body(reader, message, False)
    return message


async def read_answer(reader):
    message = await read_head(reader)
    message.body = await read_body(reader, message, True)
    return message


def answer_bytes(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


ENDED = (ConnectionError, asyncio.IncompleteReadError, OSError, ValueError)


class Server:
    """Serves one request at a time on each channel."""

    def __init__(self, address="127.0.0.1"):
        self.address = address
        self.port = 0
        self.server = None
        self.writers = set()
        self.tasks = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, self.address, self.port, limit=1 << 24, backlog=1024
        )
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def endpoint(self):
        return f"{self.address}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                request = await read_request(reader)
                if not await self.handle(request, reader, writer):
                    break
        except ENDED + (asyncio.CancelledError,):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def stop(self):
        """Ends at once, as a killed process does: channels are reset."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


# --- The platform's store ---------------------------------------------------


class Store(Server):
    ANSWER_S = 0.004

    def __init__(self):
        super().__init__()
        self.revision = 10
        self.objects = {}
        self.events = []
        self.changed = asyncio.Condition()

    async def put(self, kind, name, specification):
        """Writes as the operator or a runner; returns the time of the ack."""
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        metadata = {
            "name": name,
            "revision": self.revision,
            "createdRev": known["metadata"]["createdRev"] if known else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        value = {"metadata": metadata, "specification": specification, "status": None}
        self.objects[kind][name] = value
        self.events.append((self.revision, kind, value, False))
        async with self.changed:
            self.changed.notify_all()
        return now()

    async def remove(self, kind, name):
        known = self.objects.get(kind, {}).pop(name, None)
        if known is None:
            return now()
        self.revision += 1
        value = dict(known, metadata=dict(known["metadata"], revision=self.revision))
        self.events.append((self.revision, kind, value, True))
        async with self.changed:
            self.changed.notify_all()
        return now()

    def members(self):
        return len(self.objects.get("members", {}))

    async def handle(self, request, reader, writer):
        await asyncio.sleep(self.ANSWER_S)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(it) for it in url.path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        status, body = await self.answer(request, kind, name, query)
        writer.write(
            answer_bytes(
                status, json.dumps(body).encode(), [("Content-Type", "application/json")]
            )
        )
        await writer.drain()
        return True

    async def answer(self, request, kind, name, query):
        known = self.objects.setdefault(kind, {})
        if request.method == "GET" and "watch" in query:
            return 200, await self.watch(kind, int(query["watch"]), query)
        if request.method == "GET":
            items = [known[it] for it in sorted(known)]
            return 200, {"items": items, "truncated": False, "asOf": self.revision}
        if request.method == "DELETE":
            wanted = query.get("revision")
            if name not in known:
                return 404, {}
            if wanted and int(wanted) != known[name]["metadata"]["revision"]:
                return 409, known[name]
            await self.remove(kind, name)
            return 200, {}
        value = json.loads(request.body)
        name = name or value["metadata"]["name"]
        if request.method == "POST" and name in known:
            return 409, known[name]
        await self.put(kind, name, value.get("specification"))
        return 200, known[name]

    async def watch(self, kind, after, query):
        deadline = now() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [it for it in self.events if it[0] > after and it[1] == kind]
            left = deadline - now()
            if events or left <= 0:
                listed = [{"object": it[2], "deleted": it[3]} for it in events]
                return {"events": listed, "asOf": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass


class Proxy:
    """Forwards channels; those that are open can be made silent for good."""

    def __init__(self, target):
        self.target = target
        self.channels = []
        self.tasks = set()
        self.server = None
        self.endpoint = ""

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.endpoint = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        channel = {"silent": False}
        self.channels.append(channel)
        self.tasks.add(asyncio.current_task())
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self.forward(reader, far_writer, channel),
            self.forward(far_reader, writer, channel),
        )

    async def forward(self, reader, writer, channel):
        try:
            while data := await reader.read(65536):
                if not channel["silent"]:
                    writer.write(data)
                    await writer.drain()
        except ENDED:
            pass
        finally:
            if not channel["silent"]:
                writer.close()

    def silence(self):
        for channel in self.channels:
            channel["silent"] = True

    async def stop(self):
        self.server.close()


# --- Runners ----------------------------------------------------------------


class Runner(Server):
    """A server of a plain service. `run` makes the answer of a request."""

    def __init__(self, service, name, zone="z1", slots=8):
        super().__init__()
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.sequence = 1
        self.born = int(time.time() * 1000)
        self.arrivals = []

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.endpoint,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def seal(self):
        return ("X-Response-Seal", f"seal.{self.name}")

    async def handle(self, request, reader, writer):
        request_id = request.header("x-request-id")
        expected = request.header("x-expect-instance")
        if expected and expected != self.name:
            writer.write(
                answer_bytes(
                    421,
                    b"",
                    [("X-Request-Id", request_id), ("X-Instance-Id", self.name)],
                )
            )
            await writer.drain()
            return True
        self.arrivals.append((now(), request_id, request))
        return await self.run(request, request_id, writer)

    async def run(self, request, request_id, writer):
        await asyncio.sleep(0.01)
        await self.answer_ok(request_id, writer)
        return True

    async def answer_ok(self, request_id, writer, body=b"done\n"):
        writer.write(
            answer_bytes(200, body, [("X-Request-Id", request_id), self.seal()])
        )
        await writer.drain()


class StageRunner(Runner):
    """A server of a service that works on pieces, one call at a time."""

    def __init__(self, service, name, call_s=0.2, item_s=0.0018, zone="z1"):
        super().__init__(service, name, zone, slots=1)
        self.call_s = call_s
        self.item_s = item_s
        self.free_at = asyncio.Semaphore(1)
        self.waiting = 0
        self.handles = {}
        self.calls = []

    async def run(self, request, request_id, writer):
        value = json.loads(request.body)
        load = ("X-Instance-Load", f"{int(self.free_at.locked())},{self.waiting},1")
        if request.target == "/-/stage-free":
            for handle in value["handles"]:
                self.handles.pop(handle, None)
            writer.write(answer_bytes(200, b"{}", [load]))
            await writer.drain()
            return True
        if self.waiting > 2:
            writer.write(answer_bytes(503, b"", [("X-Not-Executed", "1"), load]))
            await writer.drain()
            return True
        items = value["items"]
        self.calls.append((now(), items))
        self.waiting += 1
        async with self.free_at:
            self.waiting -= 1
            await asyncio.sleep(self.call_s + self.item_s * len(items))
        out = []
        for item in items:
            handle = f"{self.endpoint}/{os.urandom(6).hex()}"
            self.handles[handle] = (item["id"], item["stage"], item["piece"])
            out.append({"handle": handle})
        body = json.dumps({"items": out}).encode()
        writer.write(
            answer_bytes(200, body, [("Content-Type", "application/json"), load])
        )
        await writer.drain()
        return True


class ModelRunner(Runner):
    """A model runner that answers with a stream of events."""

    def __init__(self, service, name, zone="z1", slots=128, events=10, pause_s=0.05):
        super().__init__(service, name, zone, slots)
        self.events = events
        self.pause_s = pause_s

    async def run(self, request, request_id, writer):
        await asyncio.sleep(0.05)
        await self.stream(request, request_id, writer)
        return True

    async def stream(self, request, request_id, writer):
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"X-Request-Id: {request_id}\r\n"
            f"X-Response-Seal: seal.{self.name}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        first = int(request.header("last-event-id", "0") or 0) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


# --- Gateway processes ------------------------------------------------------


def free_port(address):
    with socket.socket() as it:
        it.bind((address, 0))
        return it.getsockname()[1]


class Gateway:
    def __init__(self, folder, name, address, store_endpoint, zone="z1", **changes):
        self.folder = pathlib.Path(folder)
        self.name = name
        self.address = address
        self.front = free_port(address)
        self.ready = free_port(address)
        self.peer = free_port(address)
        self.process = None
        self.settings_path = self.folder / f"{name}.conf"
        self.bootstrap = True
        self.values = {
            "nodeName": name,
            "role": "gateway",
            "machineClass": "frontend",
            "serves": "frontend",
            "ipAddress": address,
            "zone": zone,
            "region": "r1",
            "listenAddresses.frontend": f"{address}:{self.front}",
            "listenAddresses.ready": f"{address}:{self.ready}",
            "internalPortRange": f"{self.peer},{self.peer}",
            "limits.cpuShare": "0.25",
            "limits.cpuCores": "1",
            "limits.memoryMb": "260",
            "limits.fileDescriptors": "4100",
            "limits.linkMbps": "1000.0",
            "limits.diskMb": "0",
            "discovery": "platform",
            "entryKind": "virtual_ip",
            "heartbeatMs": "1200",
            "bounds.contactMs": "3000",
            "bounds.ackTimeoutMs": "4000",
            "bounds.catchUpS": "4",
            "bounds.drainTimeoutMs": "2000",
            "bounds.gracePeriodS": "8",
            "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "2000",
            "bounds.rollbackSlackMs": "250",
            "bounds.maxStretchMs": "5000",
            "bounds.failClosed": "false",
            "bounds.revocationMs": "5000",
            "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10",
            "bounds.retryBudgetSlack": "54",
            "bounds.recoveryS": "12",
            "platform.address": store_endpoint,
            "platform.form": "objects",
            "platform.writesPerS": "400",
            "platform.readsPerS": "2000",
            "platform.historyS": "20",
            "platform.valueBytes": "1048576",
            "platform.ttlMinMs": "1000",
        }
        self.values.update(changes)

    def write_settings(self):
        lines = [f"{name}={value}" for name, value in self.values.items()]
        lines.append(f"bootstrap={'true' if self.bootstrap else 'false'}")
        self.settings_path.write_text("\n".join(lines) + "\n")

    def start(self):
        self.write_settings()
        self.bootstrap = False
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "BUCKTHORNVALE_NODE_FILE": str(self.settings_path),
        }
        self.log = open(self.folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(PROGRAM)],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)

    def running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self):
        if self.running():
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_bytes(self):
        with open(f"/proc/{self.process.pid}/statm") as file:
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.address, self.ready)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_answer(reader), 1)
            writer.close()
            return answer.status == 200
        except ENDED + (asyncio.TimeoutError,):
            return False

    async def wait_ready(self, limit_s=8):
        end = now() + limit_s
        while now() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


# --- Consumers --------------------------------------------------------------


def request_bytes(method, host, path, request_id, headers=(), body=b""):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {request_id}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Consumer:
    """One kept channel to a gateway."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.reader = None
        self.writer = None

    async def ask(self, raw, limit_s=10):
        """Returns the answer, or None if the channel ended without one."""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(
                        self.gateway.address, self.gateway.front, limit=1 << 24
                    ),
                    1,
                )
            self.writer.write(raw)
            await self.writer.drain()
            answer = await asyncio.wait_for(read_answer(self.reader), limit_s)
        except ENDED + (asyncio.TimeoutError,):
            self.close()
            return None
        if answer.header("connection").lower() == "close":
            self.close()
        return answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


# --- A case -----------------------------------------------------------------


async def play_and_exit(folder, play, limit_s):
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="gateway_case_")
    gateways = []
    result = COULD_NOT_RUN
    try:
        result = await asyncio.wait_for(play(record, temporary, gateways), limit_s)
    except (asyncio.TimeoutError, OSError, RuntimeError) as error:
        record.write(f"could not run: {error!r}")
    for gateway in gateways:
        gateway.kill()
    if os.environ.get("KEEP_LOGS"):
        print(temporary)
    else:
        shutil.rmtree(temporary, ignore_errors=True)
    record.write(f"result {result}")
    print({HELD: "held", BROKEN: "broken"}.get(result, "could not run"), flush=True)
    # The stand-ins serve until the end; there is nothing left to wait for.
    os._exit(result)


def run_case(folder, play, limit_s=110):
    """Plays a case and exits with its result. `play` returns HELD or BROKEN."""
    if not PROGRAM.exists():
        print("the gateway is not built", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    asyncio.run(play_and_exit(folder, play, limit_s))
