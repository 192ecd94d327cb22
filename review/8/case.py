"""A new manifest numbers the stages of a route in another order."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "support-2"))
import standins as s

#: Two stages: `retrieve` reads no results, `rerank` reads those of `retrieve`.
RETRIEVE_FIRST = [
    {"service": "retrieve", "after": [], "bytes": 8000},
    {"service": "rerank", "after": [0], "bytes": 6000}]
RERANK_FIRST = [
    {"service": "rerank", "after": [1], "bytes": 6000},
    {"service": "retrieve", "after": [], "bytes": 8000}]


class StageRunner(s.Runner):
    """A result of `rerank` is known by the inputs that it was made of."""

    def __init__(self, record, store, name, service, seen):
        super().__init__(record, store, name, service, 1)
        self.seen = seen

    async def run_pieces(self, request, connection):
        items = json.loads(request.body)["items"]
        for it in items:
            self.record("piece at %s: %s" % (self.name, it))
            self.seen.pieces.append((self.service, it))
        await super().run_pieces(request, connection)

    def make_result(self, item):
        out = super().make_result(item)
        self.seen.makers[out["handle"]] = (self.service, item["id"])
        return out


class ModelRunner(s.Runner):
    def __init__(self, record, store, name, service, seen):
        super().__init__(record, store, name, service, 128)
        self.seen = seen

    async def run_request(self, request, connection):
        name = request.get("X-Request-Id")
        inputs = (request.get("X-Inputs") or "").split(",")
        self.record("request %s at the model runner, X-Inputs %s" %
                    (name, inputs))
        self.seen.inputs.append((name, inputs))
        await asyncio.sleep(self.work_s)
        connection.write(s.encode(
            "HTTP/1.1 200 OK", self.seal(request) +
            [("Content-Type", "text/event-stream"),
             ("Transfer-Encoding", "chunked")]))
        for n in range(1, 4):
            connection.write(s.chunk(b"id: %d\ndata: x\n\n" % n))
        connection.write(b"0\r\n\r\n")


class Seen:
    """What the runners were asked for."""

    def __init__(self):
        self.pieces = []
        self.makers = {}
        self.inputs = []

    def broken_rules(self):
        out = []
        for service, it in self.pieces:
            if service != "rerank":
                continue
            inputs = it.get("inputs") or []
            expected = ("retrieve", it["id"])
            if not inputs:
                out.append("a piece of rerank of %s is given no inputs" %
                           it["id"])
            elif [self.makers.get(x) for x in inputs] != [expected] * 2:
                out.append("a piece of rerank of %s is given %s" %
                           (it["id"], inputs))
        for name, handles in self.inputs:
            got = [self.makers.get(x) for x in handles]
            if got != [("rerank", name)]:
                out.append("request %s is given results of %s" % (name, got))
        return out


def manifest(version, stages):
    pieces = {"slots": 1, "queue": 2, "batch": 22, "callMs": 200.0,
              "itemMs": 1.8, "headroomMb": 50.0, "handleS": 4.0,
              "linkMbps": 10000}
    return {
        "version": version,
        "routes": [{
            "name": "digest", "host": "calls.example",
            "pathPrefix": "/digest/", "kind": "streaming", "timeoutMs": 6000,
            "targetLatencyMs": 2000, "priority": 1, "service": "engine",
            "maxAttempts": 2, "stages": stages, "allowAnonymous": False,
            "stickySessions": True, "resumeStreams": True, "gapAimMs": 400}],
        "services": [
            {"name": "engine", "healthCheckPath": "/health",
             "connectionLimit": 620, "protocol": "h1", "tls": False,
             "engine": {"slots": 128, "kvCacheTokens": 664165}},
            {"name": "retrieve", "healthCheckPath": "/health",
             "connectionLimit": 620, "protocol": "h1", "tls": False,
             "pieces": pieces},
            {"name": "rerank", "healthCheckPath": "/health",
             "connectionLimit": 620, "protocol": "h1", "tls": False,
             "pieces": pieces}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "org", "apiKeys": ["key"], "priority": 1}]}


async def ask(record, gateway, pieces):
    name = s.new_id()
    record("send %s, X-Pieces %s" % (name, pieces))
    got = await s.call(gateway.ports[0], "POST", "/digest/a", [
        ("Host", "calls.example"), ("X-Request-Id", name), ("X-Model", "m"),
        ("X-Token-Counts", "1460,80"), ("X-Prompt-Prefix", "5c1e07a2:800,%x:660"
                                        % (int(name[1:]) + 0x91bd0000)),
        ("X-Pieces", pieces), ("X-Piece-Key", "k" + name),
        ("X-Request-Deadline-Ms", "6000"), ("Authorization", "Bearer key")],
        b"prompt")
    record("answer to %s: %s" % (name, got and got.first))
    return got is not None and got.status == 200


async def case(record, folder):
    store = s.Store()
    await store.start()
    store.put("config", "main", manifest(3, RETRIEVE_FIRST))
    seen = Seen()
    runners = [StageRunner(record, store, "retrieve-1", "retrieve", seen),
               StageRunner(record, store, "rerank-1", "rerank", seen),
               ModelRunner(record, store, "model-1", "engine", seen)]
    for it in runners:
        await it.start()
    gateway = s.Gateway(record, folder, "vm-1", store.address)
    try:
        await gateway.start()
        await gateway.wait_ready()
        await asyncio.sleep(0.5)
        ok = await ask(record, gateway, "2,1")
        if not ok or seen.broken_rules():
            raise s.CannotRun("the first request was not served well")
        stages = RERANK_FIRST if s.TROUBLE else RETRIEVE_FIRST
        store.put("config", "main", manifest(7, stages))
        record("new manifest, stages %s" % json.dumps(stages))
        # Longer than configApplyMs.
        await asyncio.sleep(3)
        for _ in range(3):
            await ask(record, gateway, "1,2" if s.TROUBLE else "2,1")
        broken = seen.broken_rules()
        for it in broken:
            record("BROKEN: " + it)
        return bool(broken)
    finally:
        await gateway.stop()
        for it in runners:
            it.stop()
        store.stop()


s.run_case(pathlib.Path(__file__).parent, case)
