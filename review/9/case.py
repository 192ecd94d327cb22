"""A late copy of an earlier answer is taken for the results of a stage call."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "support-2"))
import standins as s

#: Between the two pairs of requests; the connections stay idle meanwhile.
QUIET_S = 12


class StageRunner(s.Runner):
    """Once, it writes the answer to the former call on a connection again, at
    the point where the next answer is expected."""

    def __init__(self, *args):
        super().__init__(*args)
        self.late_copies = 0
        self.may_repeat = False
        self.pieces_of = {}  # handle: id of the request

    def make_result(self, item):
        out = super().make_result(item)
        self.pieces_of[out["handle"]] = item["id"]
        return out

    async def run_pieces(self, request, connection):
        items = json.loads(request.body)["items"]
        ids = [it["id"] for it in items]
        self.record("stage call on connection %d: %s" %
                    (connection.number, ids))
        former = connection.kept.get("former_answer")
        if s.TROUBLE and self.may_repeat and former and not self.late_copies:
            self.late_copies += 1
            self.record("late copy on connection %d of the answer to %s" %
                        (connection.number, connection.kept["former_ids"]))
            connection.write(former)
        await asyncio.sleep(self.call_s + self.item_s * len(items))
        results = [self.make_result(it) for it in items]
        data = s.json_answer(200, {"items": results})
        connection.kept["former_answer"] = data
        connection.kept["former_ids"] = ids
        self.record("stage answer on connection %d: %s" %
                    (connection.number, results))
        connection.write(data)

    async def free_results(self, request, connection):
        # The next answer on this connection belongs to no stage call.
        connection.kept.pop("former_answer", None)
        self.record("stage free on connection %d" % connection.number)
        await super().free_results(request, connection)


class ModelRunner(s.Runner):
    """Streams three events. It refuses a request whose inputs are gone."""

    def __init__(self, *args):
        super().__init__(*args)
        self.stage = None
        self.foreign = []

    async def run_request(self, request, connection):
        name = request.get("X-Request-Id")
        inputs = (request.get("X-Inputs") or "").split(",")
        self.record("request %s at the model runner, X-Inputs %s" %
                    (name, inputs))
        for it in inputs:
            owner = self.stage.pieces_of.get(it)
            if owner != name:
                self.foreign.append((name, it, owner))
                self.record("FOREIGN INPUT: %s is given %s of %s" %
                            (name, it, owner))
        if not all(it in self.stage.held for it in inputs):
            connection.write(s.answer(409, [("X-Not-Executed", "1"),
                                            ("X-Request-Id", name)]))
            return
        await asyncio.sleep(self.work_s)
        connection.write(s.encode(
            "HTTP/1.1 200 OK", self.seal(request) +
            [("Content-Type", "text/event-stream"),
             ("Transfer-Encoding", "chunked")]))
        for n in range(1, 4):
            connection.write(s.chunk(b"id: %d\ndata: x\n\n" % n))
            await asyncio.sleep(0.02)
        connection.write(b"0\r\n\r\n")


MANIFEST = {
    "version": 3,
    "routes": [{
        "name": "digest", "host": "calls.example", "pathPrefix": "/digest/",
        "kind": "streaming", "timeoutMs": 6000, "targetLatencyMs": 2000,
        "priority": 1, "service": "engine", "maxAttempts": 2,
        "stages": [{"service": "stage", "after": [], "bytes": 8000}],
        "allowAnonymous": False, "stickySessions": True, "resumeStreams": True,
        "gapAimMs": 400}],
    "services": [
        {"name": "engine", "healthCheckPath": "/health",
         "connectionLimit": 620, "protocol": "h1", "tls": False,
         "engine": {"slots": 128, "kvCacheTokens": 664165}},
        {"name": "stage", "healthCheckPath": "/health",
         "connectionLimit": 620, "protocol": "h1", "tls": False,
         "pieces": {"slots": 2, "queue": 2, "batch": 22, "callMs": 200.0,
                    "itemMs": 1.8, "headroomMb": 50.0, "handleS": 4.0,
                    "linkMbps": 10000}}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "org", "apiKeys": ["key"], "priority": 1}]}


async def ask(record, gateway):
    name = s.new_id()
    record("send %s" % name)
    got = await s.call(gateway.ports[0], "POST", "/digest/a", [
        ("Host", "calls.example"), ("X-Request-Id", name), ("X-Model", "m"),
        ("X-Token-Counts", "1460,80"), ("X-Prompt-Prefix", "5c1e07a2:800,%x:660"
                                        % (int(name[1:]) + 0x91bd0000)),
        ("X-Pieces", "1"), ("X-Piece-Key", "k" + name),
        ("X-Request-Deadline-Ms", "6000"), ("Authorization", "Bearer key")],
        b"prompt")
    record("answer to %s: %s" % (name, got and got.first))


async def ask_two(record, gateway):
    first = asyncio.ensure_future(ask(record, gateway))
    await asyncio.sleep(0.05)
    await asyncio.gather(first, ask(record, gateway))


async def case(record, folder):
    store = s.Store()
    await store.start()
    store.put("config", "main", MANIFEST)
    stage = StageRunner(record, store, "stage-1", "stage", 2)
    model = ModelRunner(record, store, "model-1", "engine", 128)
    model.stage = stage
    # So that both results are there before the first is freed.
    model.work_s = 0.1
    await stage.start()
    await model.start()
    gateway = s.Gateway(record, folder, "vm-1", store.address)
    try:
        await gateway.start()
        await gateway.wait_ready()
        await asyncio.sleep(0.5)
        await ask_two(record, gateway)
        record("quiet for %d s" % QUIET_S)
        await asyncio.sleep(QUIET_S)
        stage.may_repeat = True
        await ask_two(record, gateway)
        await asyncio.sleep(1)
        if s.TROUBLE and not stage.late_copies:
            raise s.CannotRun("no connection was used again for a stage call")
        return bool(model.foreign)
    finally:
        await gateway.stop()
        stage.stop()
        model.stop()
        store.stop()


s.run_case(pathlib.Path(__file__).parent, case)
