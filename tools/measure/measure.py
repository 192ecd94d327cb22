"""Measures entry VMs that run as processes on loopback; see docs/CAPACITY.md.

Prints tables as text and writes all results as JSON. Each phase has a fixed
duration, so that a run takes less than five minutes.
"""

import argparse
import json
import signal
import subprocess
import sys
import time

import processes

# Parts of a run in execution order. `vms` takes most of the time.
PARTS = ("vms", "rate", "bookings", "runners", "organisations", "members")


def fit_line(points):
    """Fits a least-squares line to (x, y) points; returns (slope, intercept)."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    square_sum = sum((x - mean_x) ** 2 for x, _ in points)
    if square_sum == 0:
        return 0.0, mean_y
    per_unit = sum((x - mean_x) * (y - mean_y) for x, y in points) / square_sum
    return per_unit, mean_y - per_unit * mean_x


def measure_idle(fleet, seconds):
    first = fleet.snapshot()
    time.sleep(seconds)
    return processes.rates_between(first, fleet.snapshot())


def measure_under_load(fleet, options, rate, booking_share=0.0):
    """Returns the rates of the VMs while load_bench runs, and its report."""
    report = fleet.folder / "load.json"
    command = [str(fleet.build / "bench/load/load_bench"),
               "--targets", ",".join(fleet.addresses),
               "--rate", str(rate), "--seconds", str(options.load_seconds),
               "--seed", str(options.seed), "--json", str(report),
               "--organisations", str(min(fleet.organisations, 16)),
               "--booking_share", str(booking_share),
               "--workers", "128"]
    first = fleet.snapshot()
    subprocess.run(command, check=True, stdout=subprocess.DEVNULL,
                   timeout=options.load_seconds + 30)
    measured = processes.rates_between(first, fleet.snapshot())
    measured["rate"] = rate
    measured["load"] = json.loads(report.read_text())
    return measured


def measure_propagation(fleet, options):
    """Returns for each change the seconds from the store's response until all
    VMs report the new revision. Stops with None after 20 s."""
    times = []
    for n in range(options.changes):
        revision = fleet.change_settings(weight=2 + n)
        start = time.monotonic()
        while min(fleet.revisions()) < revision:
            if time.monotonic() - start > 20:
                return times + [None]
            time.sleep(0.01)
        times.append(time.monotonic() - start)
    return times


def measure_outage_recovery(fleet, options):
    """Returns the mean and peak rates of store calls by kind, sampled each
    second after an outage of the store."""
    fleet.set_faults(outage=True)
    time.sleep(options.outage_seconds)
    fleet.set_faults(outage=False)
    steps = []
    start = time.monotonic()
    last, last_at = fleet.store_calls(), start
    while time.monotonic() - start < options.after_outage_seconds:
        time.sleep(1)
        calls, at = fleet.store_calls(), time.monotonic()
        steps.append({kind: (calls[kind] - n) / (at - last_at)
                      for kind, n in last.items()})
        last, last_at = calls, at
    mean = {kind: sum(it[kind] for it in steps) / len(steps)
            for kind in steps[0]}
    peak = {kind: max(it[kind] for it in steps) for kind in steps[0]}
    peak["total"] = max(sum(it.values()) for it in steps)
    return {"mean_s": mean, "peak_s": peak}


def measure_vms(options):
    rows = []
    for count in options.sizes:
        with processes.Fleet(options.build, count) as fleet:
            time.sleep(options.settle_seconds)
            row = {"vms": count,
                   "idle": measure_idle(fleet, options.idle_seconds)}
            row["load"] = measure_under_load(fleet, options,
                                             options.rate_per_vm * count)
            row["propagation_s"] = measure_propagation(fleet, options)
            if count in options.outage_sizes:
                row["after_outage"] = measure_outage_recovery(fleet, options)
        rows.append(row)
        print_vms(row)
    return rows


def measure_rate(options):
    """Measures CPU use as a function of the request rate, on four VMs."""
    rows = []
    with processes.Fleet(options.build, 4) as fleet:
        time.sleep(options.settle_seconds)
        for per_vm in options.rates:
            rows.append(measure_under_load(fleet, options, per_vm * 4))
            it = rows[-1]
            print(f"rate/VM {per_vm:5.1f}  cpu {it['cpu_percent']:6.2f}%  "
                  f"rss {it['rss_mib']:6.1f} MiB  "
                  f"link {it['link_sent_bytes_s']:7.0f} B/s sent  "
                  f"{format_load(it['load'])}", flush=True)
    return rows


def measure_bookings(options):
    rows = []
    with processes.Fleet(options.build, 8) as fleet:
        time.sleep(options.settle_seconds)
        for share in options.booking_shares:
            it = measure_under_load(fleet, options, options.booking_rate, share)
            calls = it["store_calls_s"]
            seconds = it["load"]["seconds"]
            bookings = it["load"]["bookings"]
            # The put calls include the status objects, which each VM writes
            # once per status period, also when idle. The rest are claim
            # writes.
            claim_writes = max(calls["put"] * seconds
                               - options.status_writes_s * 8 * seconds, 0)
            it["share"] = share
            it["bookings"] = bookings
            it["claim_writes"] = claim_writes
            rows.append(it)
            print(f"bookings {share:4.0%}: {bookings:5d} sent, "
                  f"{claim_writes:6.0f} claim writes, "
                  f"{claim_writes / max(bookings, 1):5.2f} writes/booking, "
                  f"store calls/s {format_calls(calls)}  "
                  f"{format_load(it['load'])}",
                  flush=True)
    return rows


def measure_runners(options):
    rows = []
    for listed in options.runners:
        with processes.Fleet(options.build, 2,
                             listed_runners=listed) as fleet:
            time.sleep(options.settle_seconds)
            it = measure_idle(fleet, options.idle_seconds)
        it["runners"] = listed
        rows.append(it)
        print(f"runners {listed:5d}  cpu {it['cpu_percent']:6.2f}%  "
              f"rss {it['rss_mib']:6.1f} MiB", flush=True)
    return rows


def measure_organisations(options):
    rows = []
    for count in options.organisations:
        with processes.Fleet(options.build, 2, organisations=count) as fleet:
            time.sleep(options.settle_seconds)
            it = measure_idle(fleet, options.idle_seconds)
            it["propagation_s"] = measure_propagation(fleet, options)
        it["organisations"] = count
        rows.append(it)
        print(f"organisations {count:6d}  cpu {it['cpu_percent']:6.2f}%  "
              f"rss {it['rss_mib']:6.1f} MiB  "
              f"change in force {format_seconds(it['propagation_s'])}",
              flush=True)
    return rows


def measure_members(options):
    """Measures CPU and memory use as a function of the length of the platform's
    list of VMs."""
    rows = []
    for count in options.members:
        with processes.Fleet(options.build, 2) as fleet:
            size = fleet.list_runners(count)
            # Each VM writes its status object every 5 s.
            time.sleep(max(options.settle_seconds, 6))
            it = measure_idle(fleet, options.idle_seconds)
            it["stored_status_bytes"] = fleet.stored_status_bytes()
        it["members"] = count + 2
        it["list_bytes"] = size
        rows.append(it)
        print(f"listed VMs {it['members']:5d}  cpu {it['cpu_percent']:6.2f}%  "
              f"rss {it['rss_mib']:6.1f} MiB  list {size} bytes  "
              f"stored status {it['stored_status_bytes']} bytes", flush=True)
    return rows


def format_calls(calls):
    return " ".join(f"{kind}={n:.2f}" for kind, n in calls.items() if n > 0)


def format_seconds(times):
    return " ".join("never" if it is None else f"{it:.3f}" for it in times)


def format_load(load):
    sent = load["sent"]
    completed = sum(it["outcomes"].get("completed", 0)
                    for it in load["ranks"].values())
    p95 = max(it["p95_ms"] for it in load["ranks"].values())
    return (f"{sent} sent, {completed} completed, p95 of the slowest rank "
            f"{p95:.0f} ms, errors {load['errors']}")


def print_vms(row):
    for name in ("idle", "load"):
        it = row[name]
        print(f"VMs {row['vms']:3d} {name:5s} cpu {it['cpu_percent']:6.2f}%  "
              f"rss {it['rss_mib']:6.1f} MiB  "
              f"link sent {it['link_sent_bytes_s']:6.0f} received "
              f"{it['link_received_bytes_s']:6.0f} B/s  "
              f"store calls/s {format_calls(it['store_calls_s'])}")
    print(f"        load: {format_load(row['load']['load'])}")
    print(f"        settings in force on all VMs after "
          f"{format_seconds(row['propagation_s'])} s")
    if "after_outage" in row:
        after = row["after_outage"]
        print(f"        after an outage: "
              f"mean/s {format_calls(after['mean_s'])}; "
              f"peak/s {format_calls(after['peak_s'])}")
    sys.stdout.flush()


def print_fits(result):
    def print_fit(name, points, unit):
        per_unit, base = fit_line(points)
        print(f"slope {name}: {per_unit:.4f} {unit}, {base:.2f} at zero")
        result.setdefault("slopes", {})[name] = {
            "per_unit": per_unit, "at_zero": base, "unit": unit}

    rows = result.get("vms", [])
    if len(rows) > 1:
        for phase in ("idle", "load"):
            for key in ("cpu_percent", "rss_mib", "link_sent_bytes_s",
                        "link_received_bytes_s"):
                print_fit(f"{phase} {key}",
                          [(it["vms"], it[phase][key]) for it in rows],
                          "per VM")
        print_fit("idle store calls/s",
                  [(it["vms"], sum(it["idle"]["store_calls_s"].values()))
                   for it in rows], "per VM")
    for part, x, keys in (
            ("rate", None, ("cpu_percent", "rss_mib")),
            ("runners", "runners", ("cpu_percent", "rss_mib")),
            ("organisations", "organisations", ("cpu_percent", "rss_mib")),
            ("members", "members", ("cpu_percent", "rss_mib", "list_bytes",
                                    "stored_status_bytes"))):
        rows = result.get(part, [])
        if len(rows) < 2:
            continue
        for key in keys:
            points = [(it["rate"] / 4 if x is None else it[x], it[key])
                      for it in rows]
            print_fit(f"{part} {key}", points,
                      "per request/s on a VM" if x is None else f"per {x[:-1]}")


def parse_int_list(text):
    return [int(it) for it in text.split(",") if it]


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--json", default="build/measure.json")
    parser.add_argument("--parts", default=",".join(PARTS))
    parser.add_argument("--sizes", type=parse_int_list,
                        default=[2, 4, 8, 16, 32])
    parser.add_argument("--outage-sizes", type=parse_int_list, default=[8, 32])
    parser.add_argument("--rate-per-vm", type=float, default=5.0)
    parser.add_argument("--rates", type=parse_int_list, default=[5, 12, 25])
    parser.add_argument("--booking-rate", type=float, default=160.0)
    parser.add_argument("--booking-shares", default=[0.01, 0.05, 0.2],
                        type=lambda it: [float(x) for x in it.split(",")])
    parser.add_argument("--runners", type=parse_int_list,
                        default=[10, 100, 300])
    parser.add_argument("--organisations", type=parse_int_list,
                        default=[16, 4000, 12000])
    parser.add_argument("--members", type=parse_int_list, default=[0, 1000])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--changes", type=int, default=3)
    parser.add_argument("--settle-seconds", type=float, default=2)
    parser.add_argument("--idle-seconds", type=float, default=4)
    parser.add_argument("--load-seconds", type=float, default=5)
    parser.add_argument("--outage-seconds", type=float, default=3)
    parser.add_argument("--after-outage-seconds", type=float, default=30)
    parser.add_argument("--status-writes-s", type=float, default=0.2,
                        help="status writes per VM and second")
    return parser.parse_args()


def main():
    options = parse_options()
    # Turns SIGTERM into an exception, so that the fleet is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit("stopped by SIGTERM"))
    started = time.monotonic()
    measure_functions = {
        "vms": measure_vms, "rate": measure_rate,
        "bookings": measure_bookings, "runners": measure_runners,
        "organisations": measure_organisations, "members": measure_members}
    result = {}
    for part in options.parts.split(","):
        print(f"== {part}", flush=True)
        result[part] = measure_functions[part](options)
    print_fits(result)
    result["seconds"] = time.monotonic() - started
    print(f"run took {result['seconds']:.0f} s")
    with open(options.json, "w", encoding="utf-8") as file:
        json.dump(result, file, indent=1)


if __name__ == "__main__":
    main()
