"""The store loses one answer to each process at the start; later comes a burst."""

import asyncio
import pathlib
import random
import sys

sys.dont_write_bytecode = True
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-3"))

from standins import *  # noqa: E402,F403

VMS = 8
LEAD_S = 10.0  #: traffic starts this long after the machines
RATE_PER_S = 70
BURST_X = 2.5
BURST_S = 6.0
RUNNERS, SLOTS, QUEUE, WORK_S = 4, 6, 6, 0.2
START_SPREAD_S = 0.3
RATIO, SLACK, WINDOW_S = 0.2, 54, 10.0

MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "route-lookup",
            "host": "routes.example",
            "pathPrefix": "/lookup/",
            "kind": "safe",
            "timeoutMs": 1200,
            "targetLatencyMs": 150,
            "priority": 2,
            "service": "jawla-app",
            "maxAttempts": 2,
            "allowAnonymous": False,
        }
    ],
    "services": [
        {"name": "jawla-app", "healthCheckPath": "/health", "connectionLimit": 400}
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "crew", "apiKeys": ["key1"]}],
}


class ForgetfulStore(Store):
    """Loses the first answer to a watch of the members, once for each process."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.watches = {}
        self.lost = 0

    async def handle(self, request, reader, writer):
        if not request.target.startswith("/-/objects/members?watch="):
            return await super().handle(request, reader, writer)
        peer = writer.get_extra_info("peername")
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        page = await self.watch("members", int(query["watch"]), query)
        if TROUBLE and self.lost < VMS and peer not in self.watches:
            self.lost += 1
            self.record.write("store: an answer is lost, its channel returns nothing further")
            await reader.read()
            return False
        self.watches[peer] = True
        body = json.dumps(page).encode()
        writer.write(answer_bytes(200, body, [("Content-Type", "application/json")]))
        await writer.drain()
        return True


class App(Runner):
    """Works on six requests at once, queues a few more, and turns others away."""

    def __init__(self, name):
        super().__init__("jawla-app", name, slots=SLOTS)
        self.places = asyncio.Semaphore(SLOTS)
        self.taken = 0

    async def run(self, request, request_id, writer):
        running = min(self.taken, SLOTS)
        load = ("X-Instance-Load", f"{running},{self.taken - running},{SLOTS}")
        named = ("X-Request-Id", request_id)
        if self.taken >= SLOTS + QUEUE:
            writer.write(answer_bytes(503, b"", [named, ("X-Not-Executed", "1"), load]))
            await writer.drain()
            return True
        self.taken += 1
        try:
            async with self.places:
                await asyncio.sleep(WORK_S)
        finally:
            self.taken -= 1
        writer.write(answer_bytes(200, b"done\n", [named, self.seal(), load]))
        await writer.drain()
        return True


async def consume(number, gateway, record, sent, rate):
    """Sends `rate` requests a second, one after the other, on a kept channel."""
    consumer = Consumer(gateway)
    count = 0
    await asyncio.sleep(random.random() / rate[0])
    while rate[0] > 0:
        started = now()
        request_id = f"c{number}-{count}"
        count += 1
        sent.append(started)
        answer = await consumer.ask(
            request_bytes(
                "GET",
                "routes.example",
                f"/lookup/{request_id}",
                request_id,
                [("X-Request-Deadline-Ms", "1200"), ("Authorization", "Bearer key1")],
            )
        )
        record.write(f"{request_id}: {answer.status if answer else 'no answer'}")
        if rate[0] > 0:
            await asyncio.sleep(max(0, started + 1 / rate[0] - now()))
    consumer.close()


def worst_window(sent, arrivals):
    """Returns (excess, repeats, requests) of the window with the largest excess."""
    seen, repeats = set(), []
    for at, request_id in sorted(arrivals):
        if request_id in seen:
            repeats.append(at)
        seen.add(request_id)
    worst = (-1e9, 0, 0)
    for end in repeats:
        count = sum(1 for at in repeats if end - WINDOW_S < at <= end)
        requests = max(
            sum(1 for at in sent if end - back - WINDOW_S < at <= end - back)
            for back in (0, WINDOW_S / 2, WINDOW_S)
        )
        worst = max(worst, (count - RATIO * requests - SLACK, count, requests))
    return worst


async def play(record, folder, gateways):
    store = ForgetfulStore(record)
    await store.start()
    runners = [App(f"i-{n}") for n in range(RUNNERS)]
    for runner in runners:
        await runner.start()
    await store.put("config", "main", MANIFEST)
    for runner in runners:
        await store.put("servers", runner.name, runner.entry())
    for number in range(VMS):
        gateway = Gateway(folder, f"frontend-{number}", "127.0.0.1", store.endpoint)
        gateways.append(gateway)
        gateway.start()
        await asyncio.sleep(START_SPREAD_S / VMS)
    for gateway in gateways:
        if not await gateway.wait_ready():
            return COULD_NOT_RUN
    await asyncio.sleep(LEAD_S)
    sent = []
    crowd = 16 * VMS
    rate = [RATE_PER_S / crowd]
    consumers = [
        asyncio.create_task(consume(n, gateways[n % VMS], record, sent, rate))
        for n in range(crowd)
    ]
    await asyncio.sleep(4)
    rate[0] *= BURST_X
    record.write(f"burst: {BURST_X} times the requests")
    await asyncio.sleep(BURST_S)
    rate[0] /= BURST_X
    record.write("the burst ends")
    await asyncio.sleep(3)
    rate[0] = 0
    await asyncio.gather(*consumers)
    arrivals = [(at, rid) for runner in runners for at, rid, _ in runner.arrivals]
    excess, repeats, requests = worst_window(sent, arrivals)
    record.write(
        f"worst {WINDOW_S:.0f} s: {repeats} repeats for {requests} requests, "
        f"{RATIO * requests + SLACK:.0f} are allowed"
    )
    return BROKEN if excess > 0 else HELD


run_case(HERE, play)
