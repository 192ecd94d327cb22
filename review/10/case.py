"""VMs restart with settings in which keys of closed matters are empty."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] /
                       "support-2"))
import standins as s

#: Keys that no page in force explains.
EMPTY = {"bounds.coldOverage": "", "bounds.coldSlack": "",
         "bounds.evacuationMs": ""}
#: The platform starts a process that has ended again after this time.
RESTART_S = 0.5
WATCH_S = 15

MANIFEST = {
    "version": 3,
    "routes": [{
        "name": "book", "host": "calls.example", "pathPrefix": "/book/",
        "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 100,
        "priority": 2, "service": "plain", "maxAttempts": 2,
        "allowAnonymous": False, "stickySessions": False,
        "resumeStreams": False, "gapAimMs": 0}],
    "services": [{"name": "plain", "healthCheckPath": "/health",
                  "connectionLimit": 110, "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
               "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    "tenants": [{"name": "org", "apiKeys": ["key"], "priority": 1}]}


async def book(record, gateway):
    name = s.new_id()
    record("send %s to %s" % (name, gateway.name))
    try:
        got = await s.call(gateway.ports[0], "POST", "/book/a", [
            ("Host", "calls.example"), ("X-Request-Id", name),
            ("X-Request-Deadline-Ms", "1500"),
            ("Authorization", "Bearer key")], b"a visit", timeout=3)
    except (OSError, asyncio.TimeoutError) as e:
        record("no answer to %s: %r" % (name, e))
        return False
    record("answer to %s: %s" % (name, got and got.first))
    return got is not None and got.status == 200


async def restart(record, gateway):
    """Acts as the platform. Returns how often the process ended by itself."""
    out = 0
    end = record.now() + WATCH_S
    while record.now() < end:
        await asyncio.sleep(RESTART_S)
        if not gateway.alive():
            await gateway.start()
            await asyncio.sleep(RESTART_S)
        if not gateway.alive():
            out += 1
            record("%s ended by itself, exit code %d" %
                   (gateway.name, gateway.process.returncode))
    return out


async def case(record, folder):
    store = s.Store()
    await store.start()
    store.put("config", "main", MANIFEST)
    runner = s.Runner(record, store, "plain-1", "plain", 6)
    await runner.start()
    vms = [s.Gateway(record, folder, "vm-%d" % n, store.address)
           for n in (1, 2)]
    try:
        for it in vms:
            await it.start()
        for it in vms:
            await it.wait_ready()
            if not await book(record, it):
                raise s.CannotRun("the first request was not served")
        changed = EMPTY if s.TROUBLE else {}
        record("the settings files change, with SIGHUP: %s" % changed)
        for it in vms:
            it.write_settings(changed)
            it.signal(signal.SIGHUP)
        await asyncio.sleep(2.5)
        for it in vms:
            if not await book(record, it):
                record("the running process no longer serves")
        record("the processes are killed")
        for it in vms:
            it.signal(signal.SIGKILL)
            await it.process.wait()
        # An end within a second of a disturbance does not count.
        await asyncio.sleep(1)
        ends = await asyncio.gather(*[restart(record, it) for it in vms])
        served = [await book(record, it) for it in vms]
        for it in vms:
            log = it.log_path.read_text().splitlines()
            record("last line of %s: %s" % (it.name, log[-1] if log else ""))
        record("ends by itself: %s" % ends)
        return min(ends) >= 3 and not any(served)
    finally:
        for it in vms:
            await it.stop()
        runner.stop()
        store.stop()


s.run_case(pathlib.Path(__file__).parent, case)
