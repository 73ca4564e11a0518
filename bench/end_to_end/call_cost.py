"""Measures the processor time of an entry host per call and the time that it
adds, from its own counters, at several rates. The owner of the pool is the
entry host itself or one hop away. Unlike added_time, the figures exclude the
load generator and the targets, which share the machine."""

import statistics

import cluster
from control_cost import metrics, processor_seconds

RATES = (250, 500, 1000, 2000)
SECONDS = 5
SERVICE_MS = 1
BUCKET = 'hawthornspur_added_milliseconds_bucket{le="'


def plan(rate):
    kinds = cluster.kinds(answer_bytes=1024, service_ms=SERVICE_MS,
                          once_share=0)
    kinds[0]["service_time"].update(sigma=0, tail_probability=0)
    return {"seed": 5, "kinds": kinds,
            "schedule": [{"duration_ms": SECONDS * 1000, "rate": rate}]}


def added_buckets(counters):
    """Returns cumulative counts by upper bound in milliseconds."""
    return {float(name[len(BUCKET):-2].replace("+Inf", "inf")): value
            for name, value in counters.items() if name.startswith(BUCKET)}


def percentile(before, after, share):
    """Returns the upper bound of the bucket with this percentile of the values
    added between two snapshots."""
    total = after[float("inf")] - before.get(float("inf"), 0)
    for bound in sorted(after):
        if after[bound] - before.get(bound, 0) >= share * total:
            return bound
    return float("inf")


def snapshot(running, names):
    return {name: (metrics(running.hosts[name]["ports"]["administration"]),
                   processor_seconds(running.hosts[name]["process"].pid))
            for name in names}


def measure(running, rate, entry, owner):
    names = {entry, owner}
    before = snapshot(running, names)
    report, _ = running.run_load(plan(rate), direct=running.entry([entry]))
    after = snapshot(running, names)
    calls = report["counts"]["good"]
    seconds = {name: after[name][1] - before[name][1] for name in names}
    old, new = (added_buckets(side[owner][0]) for side in (before, after))
    line = [f"{rate} calls/s, good {calls} of {report['counts']['offered']}:"]
    for name in sorted(names):
        role = "entry and owner" if entry == owner else (
            "entry" if name == entry else "owner")
        line.append(f"{role} {1e6 * seconds[name] / calls:.0f} us of processor "
                    f"a call ({100 * seconds[name] / SECONDS:.1f}% of a core),")
    line.append(f"added at the owner p50 {percentile(old, new, 0.5):.2f} ms, "
                f"p99 {percentile(old, new, 0.99):.2f} ms, "
                f"p99.9 {percentile(old, new, 0.999):.2f} ms")
    print(" ".join(line), flush=True)
    return sum(seconds.values()) / SECONDS


def run(build):
    faults = {"slots": 64, "connection_cost_ms": 0}
    with cluster.Cluster(build, zones=["mx-a"]) as running:
        cluster.start_default(running, targets_per_zone=4, faults=faults,
                            hosts_per_zone=2)
        owner = running.owner("mx-a")
        other = next(name for name in running.hosts if name != owner)
        for owner_place, entry in (("owner local", owner),
                             ("owner one hop away", other)):
            print(owner_place)
            cores = [measure(running, rate, entry, owner) for rate in RATES]
            slope, intercept = statistics.linear_regression(RATES, cores)
            error = max(abs(intercept + slope * rate - value)
                        for rate, value in zip(RATES, cores))
            print(f"  fit, hosts together: {intercept:.4f} + "
                  f"{1e6 * slope:.1f}e-6 x (calls/s) cores, "
                  f"largest deviation {error:.4f}", flush=True)
