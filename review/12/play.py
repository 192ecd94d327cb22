"""A key is taken away, and the store loses one answer: the watch of that change."""

import asyncio
import copy
import pathlib
import sys

sys.dont_write_bytecode = True
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-3"))

from standins import *  # noqa: E402,F403

CONTACT_S = 3.0
APPLY_S = 2.0

MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "visit-book",
            "host": "visits.example",
            "pathPrefix": "/book/",
            "kind": "unsafe",
            "timeoutMs": 1500,
            "targetLatencyMs": 100,
            "priority": 2,
            "service": "bookings",
            "maxAttempts": 1,
            "allowAnonymous": False,
        }
    ],
    "services": [
        {"name": "bookings", "healthCheckPath": "/health", "connectionLimit": 110}
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "crew", "apiKeys": ["kept", "dropped", "other"]}],
}


def version(number, keys):
    out = copy.deepcopy(MANIFEST)
    out["version"] = number
    out["tenants"][0]["apiKeys"] = keys
    return out


class ForgetfulStore(Store):
    """Loses one answer; its channel returns nothing further."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.lose_next = False
        self.lost_at = None

    async def handle(self, request, reader, writer):
        watches = request.target.startswith("/-/objects/config?watch=")
        revision = self.revision
        if not watches:
            return await super().handle(request, reader, writer)
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(self.ANSWER_S)
        page = await self.watch("config", int(query["watch"]), query)
        if self.lose_next and page["events"] and self.revision > revision:
            self.lose_next = False
            self.lost_at = now()
            self.record.write("store: the answer to a watch of the manifest is lost")
            await reader.read()  # until the other side closes the channel
            return False
        body = json.dumps(page).encode()
        writer.write(answer_bytes(200, body, [("Content-Type", "application/json")]))
        await writer.drain()
        return True


async def consume(number, gateway, record, stop):
    consumer = Consumer(gateway)
    sent = 0
    while not stop.is_set():
        key = "dropped" if number % 2 else "kept"
        request_id = f"{key}-{number}-{sent}"
        sent += 1
        raw = request_bytes(
            "POST",
            "visits.example",
            f"/book/{request_id}",
            request_id,
            [("X-Request-Deadline-Ms", "1500"), ("Authorization", f"Bearer {key}")],
            b"visit",
        )
        SENT[request_id] = now()
        answer = await consumer.ask(raw)
        record.write(f"{request_id}: {answer.status if answer else 'no answer'}")
        await asyncio.sleep(0.1)
    consumer.close()


SENT = {}


async def play(record, folder, gateways):
    store = ForgetfulStore(record)
    await store.start()
    runners = [Runner("bookings", f"i-{n}") for n in range(4)]
    for runner in runners:
        await runner.start()
    await store.put("config", "main", MANIFEST)
    for runner in runners:
        await store.put("servers", runner.name, runner.entry())
    gateway = Gateway(folder, "frontend-1", "127.0.0.1", store.endpoint)
    gateways.append(gateway)
    gateway.start()
    if not await gateway.wait_ready():
        return COULD_NOT_RUN
    stop = asyncio.Event()
    consumers = [
        asyncio.create_task(consume(n, gateway, record, stop)) for n in range(12)
    ]
    await asyncio.sleep(5)

    # Two keys are taken away, one after the other.
    await store.put("config", "main", version(8, ["kept", "dropped"]))
    record.write("store: acknowledged version 8, without the key 'other'")
    await asyncio.sleep(0.5)
    store.lose_next = TROUBLE
    acknowledged = await store.put("config", "main", version(9, ["kept"]))
    record.write("store: acknowledged version 9, without the key 'dropped'")
    await asyncio.sleep(0.2)
    if TROUBLE and store.lost_at is None:
        return COULD_NOT_RUN
    disturbed = store.lost_at if TROUBLE else acknowledged
    await asyncio.sleep(6)
    stop.set()
    await asyncio.gather(*consumers)

    late = 0
    for runner in runners:
        for _, request_id, _ in runner.arrivals:
            sent = SENT[request_id]
            if (
                request_id.startswith("dropped")
                and sent - acknowledged > APPLY_S
                and sent - disturbed > CONTACT_S
            ):
                late += 1
                record.write(
                    f"{runner.name} ran {request_id}, sent "
                    f"{sent - acknowledged:.3f} s after the ack"
                )
    record.write(f"{late} requests ran with a key that was taken away")
    return BROKEN if late else HELD


run_case(HERE, play)
