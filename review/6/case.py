"""A VM on a slow link does not catch up with changes of a large manifest."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "support-2"))
import standins as s

LINK_MBPS = 10
ROUTES = 1400
CHANGES = 6
AWAY_S = 9
CONTACT_S = 4
APPLY_S = 3
HISTORY_S = 20
#: Events in one answer to a watch at most; the next watch goes on from there.
EVENTS = 4


class Store(s.Store):
    """Keeps its history for 20 s, and answers over a slow link."""

    def __init__(self):
        super().__init__()
        self.written = {}  # time of each revision
        self.link_free_at = 0.0

    def put(self, kind, name, specification):
        super().put(kind, name, specification)
        self.written[self.revision] = time.monotonic()

    async def _watch(self, kind, since, wait_ms, connection):
        old = time.monotonic() - HISTORY_S
        if any(since < rev and at < old for rev, at in self.written.items()):
            await self.send(connection, s.json_answer(410, {}))
            return
        end = time.monotonic() + wait_ms / 1000
        while not self.refuse:
            events = [it for it in self.history
                      if it[0] > since and it[1] == kind][:EVENTS]
            left = end - time.monotonic()
            if events or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        if self.refuse:
            connection.write(s.json_answer(503, {}))
            return
        last = events[-1][0] if len(events) == EVENTS else self.revision
        await self.send(connection, s.json_answer(
            200, {"events": [it[2] for it in events], "asOf": last}))

    async def send(self, connection, data):
        """Writes at the rate of the link, which all connections share."""
        self.watch_bytes = max(self.watch_bytes, len(data))
        size = 16384
        for at in range(0, len(data), size):
            if connection.writer.is_closing():
                raise ConnectionError
            now = time.monotonic()
            self.link_free_at = max(self.link_free_at, now) + \
                size * 8 / (LINK_MBPS * 1e6)
            connection.write(data[at:at + size])
            await connection.writer.drain()
            await asyncio.sleep(max(0, self.link_free_at - now))


def manifest(version, keys):
    """As the users' example, with `ROUTES` more routes."""
    def route(name, host, prefix):
        return {"name": name, "host": host, "pathPrefix": prefix,
                "kind": "safe", "timeoutMs": 1500, "targetLatencyMs": 100,
                "priority": 2, "service": "plain", "maxAttempts": 2,
                "stages": [], "allowAnonymous": False,
                "stickySessions": False, "resumeStreams": False,
                "gapAimMs": 0}
    routes = [route("r-%07x" % n, "calls%d.example" % (n % 8),
                    "/route%07x/%03x/" % (n, n % 4096))
              for n in range(ROUTES)]
    routes.append(route("r-new", "calls.example", "/added-by/%d/" % version))
    routes.append(route("r-read", "calls.example", "/read/"))
    return {
        "version": version, "routes": routes,
        "services": [{"name": "plain", "healthCheckPath": "/health",
                      "connectionLimit": 110, "protocol": "h1", "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "org", "apiKeys": keys, "priority": 1}]}


async def ask(record, gateway, path, key):
    name = s.new_id()
    try:
        got = await s.call(gateway.ports[0], "GET", path, [
            ("Host", "calls.example"), ("X-Request-Id", name),
            ("X-Request-Deadline-Ms", "1500"),
            ("Authorization", "Bearer " + key)], timeout=5)
    except (OSError, asyncio.TimeoutError) as e:
        record("no answer to %s: %r" % (name, e))
        return None
    record("answer to %s, %s with key %s: %s" %
           (name, path, key, got and got.first))
    return got and got.status


async def case(record, folder):
    store = Store()
    await store.start()
    store.put("config", "main", manifest(3, ["key", "old-key"]))
    runner = s.Runner(record, store, "plain-1", "plain", 6)
    await runner.start()
    gateway = s.Gateway(record, folder, "vm-1", store.address, 260,
                        {"limits.linkMbps": str(LINK_MBPS),
                         "bounds.contactMs": str(CONTACT_S * 1000),
                         "bounds.configApplyMs": str(APPLY_S * 1000),
                         "bounds.drainTimeoutMs": "3000"})
    try:
        await gateway.start()
        await gateway.wait_ready()
        await asyncio.sleep(1)
        if await ask(record, gateway, "/read/a", "old-key") != 200:
            raise s.CannotRun("the first request was not served")
        begin = record.now()
        if s.TROUBLE:
            store.refuse = True
            store.changed.set()
            record("the store turns the VM away")
        for n in range(1, CHANGES + 1):
            await asyncio.sleep(1)
            value = manifest(3 + 4 * n, ["key"])
            store.put("config", "main", value)
            record("version %d acknowledged, %d bytes" %
                   (value["version"], len(json.dumps(value))))
        last = 3 + 4 * CHANGES
        acked = record.now()
        await asyncio.sleep(max(0, begin + AWAY_S - record.now()))
        store.refuse = False
        record("the store serves the VM")
        bound = max(record.now() + CONTACT_S, acked + APPLY_S)
        await asyncio.sleep(max(0, bound - record.now()) + 0.2)
        record("in touch; version %d has to be in force" % last)
        stale = 0
        for _ in range(12):
            if await ask(record, gateway, "/added-by/%d/a" % last, "key") \
                    == 404:
                stale += 1
            if await ask(record, gateway, "/read/a", "old-key") == 200:
                stale += 1
            await asyncio.sleep(1)
        record("%d of 24 requests were handled as only an older version "
               "allows; largest answer of the store %d bytes" %
               (stale, store.watch_bytes))
        return stale > 0
    finally:
        await gateway.stop()
        runner.stop()
        store.stop()


s.run_case(pathlib.Path(__file__).parent, case)
