"""Starts, samples and stops the processes of one fleet on loopback."""

import hashlib
import json
import os
import pathlib
import re
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
ORGANISATIONS_PATH = "settings/organisations"
START_TIMEOUT = 30.0  # seconds until a process listens or a VM is ready
STOP_TIMEOUT = 10.0  # seconds between SIGTERM and SIGKILL
FAILURE_DOMAINS = ("north", "south", "east", "west")

# (name, kind, settings, stand-in flags)
POOLS = (
    ("encoders", "engine", "", ("--work_ms", "5")),
    ("retrievers", "engine", "", ("--work_ms", "8")),
    ("rerankers", "engine", "", ("--work_ms", "8")),
    ("assistants", "engine", "resumes_streams = true",
     ("--token_ms", "5", "--models", "assistant-small")),
    ("bookings", "service", "answers_outcomes = true", ("--work_ms", "10")),
)
STANDINS_PER_POOL = 2
STANDIN_SLOTS = 64


def request(method, url, body=None, headers=None, timeout=5.0):
    """Sends one HTTP request and returns (status, body)."""
    data = body.encode() if isinstance(body, str) else body
    http_request = urllib.request.Request(
        url, data=data, method=method,
        headers={"Content-Type": "application/json", **(headers or {})})
    try:
        with urllib.request.urlopen(http_request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def get_json(url):
    return json.loads(request("GET", url)[1])


class Process:
    """A child process whose output goes to files."""

    def __init__(self, name, command, folder):
        self.name = name
        self.output = folder / f"{name}.out"
        self.log = folder / f"{name}.log"
        with open(self.output, "wb") as out, open(self.log, "wb") as log:
            self.child = subprocess.Popen(command, stdout=out, stderr=log)

    def await_line(self, pattern):
        """Waits until a line of the output matches and returns the match."""
        end = time.monotonic() + START_TIMEOUT
        while time.monotonic() < end:
            match = re.search(pattern, self.output.read_text(), re.MULTILINE)
            if match:
                return match
            if self.child.poll() is not None:
                break
            time.sleep(0.02)
        raise RuntimeError(f"{self.name} did not start: "
                           f"{self.log.read_text()[-2000:]}")

    def cpu_seconds(self):
        text = pathlib.Path(f"/proc/{self.child.pid}/stat").read_text()
        fields = text.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def proc_status_kib(self, key):
        text = pathlib.Path(f"/proc/{self.child.pid}/status").read_text()
        return int(re.search(rf"^{key}:\s+(\d+)", text, re.MULTILINE)[1])


class Fleet:
    """Runs a platform stand-in, runner stand-ins and entry VMs."""

    def __init__(self, build, vms, organisations=16, listed_runners=0):
        self.build = pathlib.Path(build)
        self.vm_count = vms
        self.organisations = organisations
        self.listed_runners = listed_runners
        self.processes = []
        self.vms = []
        self.addresses = []
        self._folder = tempfile.TemporaryDirectory(prefix="measure-")
        self.folder = pathlib.Path(self._folder.name)

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    def _launch(self, name, *command):
        process = Process(name, [str(it) for it in command], self.folder)
        self.processes.append(process)
        return process

    def stop(self):
        """Stops the processes that this fleet started, and no others."""
        running = [it.child for it in self.processes if it.child.poll() is None]
        for it in running:
            it.terminate()
        end = time.monotonic() + STOP_TIMEOUT
        for it in running:
            try:
                it.wait(max(end - time.monotonic(), 0.01))
            except subprocess.TimeoutExpired:
                it.kill()
                it.wait()
        self.processes = []
        self._folder.cleanup()

    def _start(self):
        settings = self.folder / "objects" / "settings"
        self._write_settings(settings)
        self.platform_process = self._launch(
            "platform", self.build / "standins/platform/platform_standin",
            "--load", self.folder / "objects")
        port = self.platform_process.await_line(r"^listening .*:(\d+)")[1]
        self.platform = f"127.0.0.1:{port}"
        started = [self._launch_vm(n) for n in range(self.vm_count)]
        for n, process in enumerate(started):
            match = process.await_line(
                r"^listening http ([0-9.:]+) peer ([0-9.:]+)")
            self.vms.append(process)
            self.addresses.append(match[1])
            request("POST", f"http://{self.platform}/vms", json.dumps({
                "id": process.name, "role": "entry", "address": match[1],
                "peer_address": match[2], "state": "live",
                "failure_domain": FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)]}))
        self._await_ready()

    def _await_ready(self):
        """Waits until each VM is ready and lists all entry VMs as members."""
        end = time.monotonic() + START_TIMEOUT
        for address in self.addresses:
            while not self._has_joined(address):
                if time.monotonic() > end:
                    raise RuntimeError(f"the VM on {address} is not ready")
                time.sleep(0.05)

    def _has_joined(self, address):
        status = get_json(f"http://{address}/v1/status")
        entries = [it for it in status.get("members", ())
                   if it["role"] == "entry"]
        return status.get("ready") and len(entries) >= self.vm_count

    def _launch_vm(self, n):
        name = f"vm-{n + 1}"
        config = self.folder / f"{name}.toml"
        config.write_text(
            f'vm = "{name}"\n'
            f'failure_domain = "{FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)]}"\n'
            'region = "measured"\n'
            f'[platform]\naddress = "{self.platform}"\n'
            '[shutdown]\nnotice_ms = 100\n')
        return self._launch(
            name, self.build / "packages/daemon/buckthornvaled",
            "--config", config)

    def _write_settings(self, settings):
        demo = pathlib.Path("demo/settings")
        for it in ("pipelines", "pools", "organisations"):
            (settings / it).mkdir(parents=True)
        (settings / "ranks.toml").write_text((demo / "ranks.toml").read_text())
        for it in (demo / "pipelines").glob("*.toml"):
            (settings / "pipelines" / it.name).write_text(it.read_text())
        for n in range(1, self.organisations + 1):
            folder = settings / "organisations" / f"org-{n}"
            folder.mkdir()
            (folder / "limits.toml").write_text(
                organisation_settings(f"org-{n}"))
        for pool in POOLS:
            self._add_pool(settings, *pool)

    def _add_pool(self, settings, pool, kind, extra_settings, flags):
        """Starts a pool's stand-ins and writes the pool settings. If more
        runners are listed than stand-ins run, several runners share one stand-in."""
        ports = []
        for n in range(STANDINS_PER_POOL):
            process = self._launch(
                f"{pool}-{n + 1}",
                self.build / f"standins/{kind}/buckthornvale_standin_{kind}",
                "--name", f"{pool}-{n + 1}", "--slots", STANDIN_SLOTS, *flags)
            ports.append(process.await_line(r"^listening .*:(\d+)")[1])
        listed = max(self.listed_runners // len(POOLS), STANDINS_PER_POOL)
        text = [f'kind = "{kind}"', extra_settings]
        for n in range(listed):
            text += ["[[runners]]", f'name = "{pool}-{n + 1}"',
                     'host = "127.0.0.1"', f"port = {ports[n % len(ports)]}",
                     'failure_domain = '
                     f'"{FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)]}"',
                     f"slots = {STANDIN_SLOTS}"]
        (settings / "pools" / f"{pool}.toml").write_text("\n".join(text) + "\n")

    def snapshot(self):
        """Returns the current counters of all VMs and of the store."""
        links = [get_json(f"http://{it}/v1/status")["peer_link"]
                 for it in self.addresses]
        return {"at": time.monotonic(),
                "cpu": [it.cpu_seconds() for it in self.vms],
                "rss": [it.proc_status_kib("VmRSS") for it in self.vms],
                "links": links,
                "calls": self.store_calls()}

    def list_runners(self, count):
        """Adds runners to the platform's list; returns its size in bytes.
        No pool settings contain these runners, so no VM calls them."""
        listed_vms = get_json(f"http://{self.platform}/v1/vms")["vms"]
        listed_vms += [
            {"id": f"listed-runner-{n}", "role": "runner",
             "address": "127.0.0.1:9", "state": "live",
             "failure_domain": FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)]}
            for n in range(count)]
        status, body = request("POST", f"http://{self.platform}/vms",
                               json.dumps({"vms": listed_vms}))
        if status != 200:
            raise RuntimeError(f"the list of VMs was refused: {body}")
        return len(request("GET", f"http://{self.platform}/v1/vms")[1])

    def stored_status_bytes(self):
        url = f"http://{self.platform}/v1/objects/status/{self.vms[0].name}"
        return len(get_json(url)["value"])

    def store_calls(self):
        return get_json(f"http://{self.platform}/stats")["calls"]

    def set_faults(self, **faults):
        request("POST", f"http://{self.platform}/faults", json.dumps(faults))

    def change_settings(self, weight):
        """Updates one organisation's limits; returns the new revision."""
        path = f"{ORGANISATIONS_PATH}/org-1/limits"
        url = f"http://{self.platform}/v1/objects/{path}"
        version = get_json(url)["version"]
        status, body = request(
            "PUT", url, organisation_settings("org-1", weight),
            {"If-Match": str(version)})
        if status != 200:
            raise RuntimeError(f"the settings write was refused: {body}")
        return json.loads(body)["version"]

    def revisions(self):
        return [get_json(f"http://{it}/v1/status")["settings_revision"]
                for it in self.addresses]


def organisation_settings(name, weight=1):
    digest = hashlib.sha256(f"{name}-key".encode()).hexdigest()
    return f'key_sha256 = "{digest}"\nweight = {weight}\n'


def rates_between(first, last):
    """Returns the mean rates between two snapshots: CPU and link
    figures per VM, store calls for the whole fleet. Memory is the mean per VM
    at the second snapshot."""
    seconds = last["at"] - first["at"]
    count = len(first["cpu"])

    def mean(name):
        return sum(b[name] - a[name] for a, b in
                   zip(first["links"], last["links"])) / count / seconds

    return {
        "cpu_percent": 100 * (sum(last["cpu"]) - sum(first["cpu"]))
                       / count / seconds,
        "rss_mib": sum(last["rss"]) / count / 1024,
        "link_sent_bytes_s": mean("sent_bytes"),
        "link_received_bytes_s": mean("received_bytes"),
        "link_sent_s": mean("sent"),
        "store_calls_s": {kind: (last["calls"][kind] - n) / seconds
                          for kind, n in first["calls"].items()},
    }
