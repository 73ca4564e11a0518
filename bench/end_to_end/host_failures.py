"""Kills the owner of a pool under load, or stops it with SIGSTOP for 10 s.
Measures failed calls, and the time from the fault to the last bucket of 100 ms
with a failure."""

import signal
import time

import cluster

RATE = 200
BUCKET_MS = 100
PAUSE_S = 10
# An idempotent call is retried at the next address after this time.
ATTEMPT_LIMIT_MS = 300


def disturbance(report, fault_time):
    """Returns the seconds from the fault to the end of the last bucket in which
    a call was not good."""
    timeline = report["timeline"]
    last = 0
    for index, offered in enumerate(timeline["offered"]):
        begin = index * BUCKET_MS / 1000
        if (begin + BUCKET_MS / 1000 > fault_time
                and timeline["good"][index] < offered):
            last = begin + BUCKET_MS / 1000
    return max(0, last - fault_time)


def measure(build, title, seconds, fault):
    with cluster.Cluster(build) as running:
        cluster.start_default(running, hosts_per_zone=2)
        kinds = cluster.kinds(deadline_ms=1500)
        kinds[0]["attempt_limit_ms"] = ATTEMPT_LIMIT_MS
        plan = {"seed": 6, "kinds": kinds,
                "schedule": [{"duration_ms": seconds * 1000, "rate": RATE}]}
        quiet = dict(plan, schedule=[{"duration_ms": 4000, "rate": RATE}])
        before, _ = running.run_load(quiet)
        owner = running.owner(cluster.ZONES[0])
        begin = time.monotonic()
        load = running.load(plan, f"--bucket_ms={BUCKET_MS}", "--callers=9")
        time.sleep(4)
        fault_time = time.monotonic() - begin
        fault(running.hosts[owner]["process"])
        report, _ = running.finish(load)
        cluster.print_figures(f"{title}: before", before)
        cluster.print_figures(f"{title}: owner {owner}", report)
        for name, kind in report["kinds"].items():
            print(f"{title}: {name}: {kind['counts']['offered']} offered, "
                  f"{kind['counts']['good']} good, codes {kind['codes']}")
        ratio = report["latency_ms"]["p99"] / before["latency_ms"]["p99"]
        print(f"{title}: disturbed for "
              f"{disturbance(report, fault_time):.1f} s, p99 "
              f"against the time before {ratio:.2f}", flush=True)


def pause(process):
    process.send_signal(signal.SIGSTOP)
    time.sleep(PAUSE_S)
    process.send_signal(signal.SIGCONT)


def run(build):
    measure(build, "killed owner", 15, lambda process: process.kill())
    measure(build, "owner stopped for 10 s", 25, pause)
