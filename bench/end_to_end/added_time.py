"""Measures the time that an entry host adds at half of its saturation rate,
compared with direct calls in the same run, for answers of 1 KB, 64 KB and 4 MB.
The owner of the pool is the entry host itself or one hop away."""

import cluster

SIZES = {"1 KB": 1024, "64 KB": 64 << 10, "4 MB": 4 << 20}
# First rate of the search for saturation in calls per second, by size.
START_RATE = {"1 KB": 500, "64 KB": 400, "4 MB": 20}
# Below this share of good calls a rate is above saturation.
MIN_GOOD_SHARE = 0.99
# A rate is above saturation if the p99 beyond the service time exceeds this.
SATURATED_MS = 100
MAX_DOUBLINGS = 7
SERVICE_MS = 1


def plan(size, rate, seconds=4):
    kinds = cluster.kinds(answer_bytes=size, service_ms=SERVICE_MS,
                          once_share=0)
    kinds[0]["service_time"].update(sigma=0, tail_probability=0)
    return {"seed": 11, "kinds": kinds,
            "schedule": [{"duration_ms": seconds * 1000, "rate": rate}]}


def saturation(running, size, rate, entry):
    """Doubles the rate until the host is saturated and returns the highest
    sustained rate."""
    sustained = rate / 2
    for _ in range(MAX_DOUBLINGS):
        report, _ = running.run_load(plan(size, rate, 2), direct=entry)
        counts = report["counts"]
        is_late = report["excess_ms"]["p99"] > SATURATED_MS
        if counts["good"] < MIN_GOOD_SHARE * counts["offered"] or is_late:
            break
        sustained = rate
        rate *= 2
    return sustained


def measure(running, name, rate, entry, owner_place):
    load = plan(SIZES[name], rate)
    direct, _ = running.run_load(load, direct=running.target_list())
    through, _ = running.run_load(load, direct=entry)
    line = [f"{name}, {owner_place}, {rate:.0f} calls/s:"]
    for share in ("p50", "p99"):
        with_host = through["excess_ms"][share]
        without = direct["excess_ms"][share]
        ratio = with_host / without if without > 0 else float("nan")
        line.append(f"{share} {with_host:.3f} ms, direct {without:.3f} ms, "
                    f"added {with_host - without:.3f} ms, "
                    f"ratio {ratio:.2f};")
    line.append(f"violations {cluster.violations(through)}")
    print(" ".join(line), flush=True)


def run(build):
    faults = {"slots": 64, "connection_cost_ms": 0}
    with cluster.Cluster(build, zones=["mx-a"]) as running:
        cluster.start_default(running, targets_per_zone=4, faults=faults,
                            hosts_per_zone=2)
        owner = running.owner("mx-a")
        other = next(name for name in running.hosts if name != owner)
        for owner_place, host in (("owner local", owner),
                            ("owner one hop away", other)):
            entry = running.entry([host])
            for name, size in SIZES.items():
                top = saturation(running, size, START_RATE[name], entry)
                print(f"{name}, {owner_place}: saturation about "
                      f"{top:.0f} calls/s")
                measure(running, name, top / 2, entry, owner_place)
