"""Drains and restarts all entry hosts one after the other under load. Measures
failed and refused calls, compared with direct calls."""

import cluster

SECONDS = 60
RATE = 150


def restart(running, name):
    host = running.hosts[name]
    cluster.http("POST", host["ports"]["administration"], "/drain")
    stopped = running.wait_until(
        lambda: host["process"].poll() is not None, f"{name} stopped", 35)
    running.start_host(name, host["zone"])
    ready = running.wait_until(running.in_force, f"{name} ready", 35)
    print(f"{name}: stopped after {stopped:.1f} s with status "
          f"{host['process'].returncode}, ready after {ready:.1f} s",
          flush=True)


def run(build):
    with cluster.Cluster(build) as running:
        cluster.start_default(running)
        plan = {"seed": 5, "kinds": cluster.kinds(),
                "schedule": [{"duration_ms": SECONDS * 1000, "rate": RATE}]}
        short = dict(plan, schedule=[{"duration_ms": 5000, "rate": RATE}])
        direct, _ = running.run_load(short, direct=running.target_list())
        load = running.load(plan)
        for name in list(running.hosts):
            restart(running, name)
        report, _ = running.finish(load)
        cluster.print_figures("direct", direct)
        cluster.print_figures("rolling restart", report)
        ratio = report["latency_ms"]["p99"] / direct["latency_ms"]["p99"]
        print(f"p99 against direct calls: {ratio:.2f}")
