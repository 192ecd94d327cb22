"""A request that crashes runners comes again, and all processes are killed."""

import asyncio
import pathlib
import sys
import time

sys.dont_write_bytecode = True
HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "support-3"))

from standins import *  # noqa: E402,F403

CONTACT_S = 3.0
DOWN_S = 1.0
RUNNER_DOWN_S = 2.0
RETURN_S = 2.5  #: time after which the crashing request comes again
ALLOWED_RETRIES = 3
POISON_PATH = "/chat/5c1e"

MANIFEST = {
    "version": 7,
    "routes": [
        {
            "name": "crew-chat",
            "host": "rounds.example",
            "pathPrefix": "/chat/",
            "kind": "streaming",
            "timeoutMs": 20000,
            "targetLatencyMs": 4000,
            "priority": 3,
            "service": "buckthorn-llm",
            "maxAttempts": 1,
            "allowAnonymous": False,
            "stickySessions": True,
            "resumeStreams": False,
            "gapAimMs": 400,
        }
    ],
    "services": [
        {
            "name": "buckthorn-llm",
            "healthCheckPath": "/health",
            "connectionLimit": 620,
            "engine": {"slots": 128, "kvCacheTokens": 664165},
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "crew", "apiKeys": ["key1", "key2"]}],
}


class Engine(ModelRunner):
    """Crashes when it begins to run the request, and is back 2 s later."""

    def __init__(self, store, record, reached, name):
        super().__init__("buckthorn-llm", name, events=20, pause_s=0.05)
        self.store = store
        self.record = record
        self.reached = reached

    async def run(self, request, request_id, writer):
        if request.target != POISON_PATH:
            return await super().run(request, request_id, writer)
        self.reached.append((now(), request_id, self.name))
        self.record.write(f"{self.name} begins to run {request_id} and crashes")
        asyncio.create_task(self.crash())
        await asyncio.sleep(1)
        return False

    async def crash(self):
        await asyncio.sleep(0.02)
        await self.stop()
        await asyncio.sleep(RUNNER_DOWN_S)
        self.born = int(time.time() * 1000)
        await self.start()
        await self.store.put("servers", self.name, self.entry())
        self.record.write(f"{self.name} is back")


def chat(path, request_id, key):
    return request_bytes(
        "POST",
        "rounds.example",
        path,
        request_id,
        [
            ("X-Request-Deadline-Ms", "20000"),
            ("Authorization", f"Bearer {key}"),
            ("X-Model", "m"),
            ("X-Token-Counts", "715,280"),
            ("X-Prompt-Prefix", f"aa:172,{abs(hash(request_id)) % 2**32:x}:543"),
        ],
        b"question " + path.encode(),
    )


async def talk(number, gateways, record, stop):
    sent = 0
    while not stop.is_set():
        consumer = Consumer(gateways[number % len(gateways)])
        while not stop.is_set():
            request_id = f"t{number}-{sent}"
            sent += 1
            answer = await consumer.ask(chat(f"/chat/{request_id}", request_id, "key2"))
            record.write(f"{request_id}: {answer.status if answer else 'cut off'}")
            if answer is None:
                break
        await asyncio.sleep(0.3)


class Poison:
    """The request that comes again: same path, caller and body, own ids."""

    def __init__(self, gateways, record):
        self.gateways = gateways
        self.record = record
        self.sent = 0

    async def come(self, times):
        for _ in range(times):
            gateway = self.gateways[self.sent % len(self.gateways)]
            request_id = f"poison-{self.sent}"
            self.sent += 1
            answer = await Consumer(gateway).ask(chat(POISON_PATH, request_id, "key1"))
            status = answer.status if answer else "cut off"
            self.record.write(f"{request_id} by {gateway.name}: {status}")
            await asyncio.sleep(RETURN_S)


async def kill_all(gateways, record):
    record.write("all processes are killed")
    for gateway in gateways:
        gateway.kill()
    await asyncio.sleep(DOWN_S)
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            raise RuntimeError("a gateway does not start again")


async def play(record, folder, gateways):
    store = Store()
    await store.start()
    reached = []
    engines = [Engine(store, record, reached, f"i-{n}") for n in range(6)]
    for engine in engines:
        await engine.start()
    await store.put("config", "main", MANIFEST)
    for engine in engines:
        await store.put("servers", engine.name, engine.entry())
    for number in range(3):
        gateway = Gateway(folder, f"frontend-{number}", "127.0.0.1", store.endpoint)
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        if not await gateway.wait_ready():
            return COULD_NOT_RUN
    await asyncio.sleep(CONTACT_S + 1)
    stop = asyncio.Event()
    talks = [
        asyncio.create_task(talk(n, gateways, record, stop)) for n in range(12)
    ]
    poison = Poison(gateways, record)
    await poison.come(6)
    for _ in range(2):
        if TROUBLE:
            await kill_all(gateways, record)
        # Only what is sent by machines in touch counts.
        await asyncio.sleep(CONTACT_S + 1)
        await poison.come(5)
    stop.set()
    await asyncio.gather(*talks)
    third = reached[2][0] if len(reached) > 2 else now()
    late = [it for it in reached if it[0] > third + CONTACT_S]
    record.write(
        f"{len(late)} retries reached runners later than {CONTACT_S} s after the "
        "third crash"
    )
    return BROKEN if len(late) > ALLOWED_RETRIES else HELD


run_case(HERE, play)
