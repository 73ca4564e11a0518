"""Measures configuration changes: the time until a change is in force on all
hosts of a healthy system, concurrent changes by several operators, and a store
outage under load with a change during and after it."""

import concurrent.futures

import cluster

OPERATORS = 8
RATE = 150
OUTAGE_LOAD_S = 20


def change(running, name):
    running.apply_next(name)
    seconds = running.wait_until(running.in_force, "the change in force")
    print(f"change {name}: generation {running.generation} in force on "
          f"{len(running.hosts)} hosts after {seconds:.2f} s", flush=True)


def apply_concurrently(running):
    documents = [running.document(f"operator-{index}")
                 for index in range(OPERATORS)]
    with concurrent.futures.ThreadPoolExecutor(OPERATORS) as pool:
        answers = list(pool.map(
            lambda document: running.apply(document, running.generation),
            documents))
    stored = [generation for outcome, generation in answers
              if outcome == "stored"]
    print(f"{OPERATORS} racing operators: {len(stored)} stored, "
          f"{sum(a[0] == 'conflict' for a in answers)} conflicts, "
          f"{sum(a[0] == 'failed' for a in answers)} failed", flush=True)
    running.generation = max(stored, default=running.generation)
    running.wait_until(running.in_force, "the stored change in force")
    change_ids = {running.status(name)["change_id"] for name in running.hosts}
    print(f"change ids in force afterwards: {len(change_ids)}")


def outage(running):
    plan = {"seed": 8, "kinds": cluster.kinds(),
            "schedule": [{"duration_ms": OUTAGE_LOAD_S * 1000, "rate": RATE}]}
    short = dict(plan, schedule=[{"duration_ms": 5000, "rate": RATE}])
    before, _ = running.run_load(short)
    cluster.http("PUT", running.platform, "/control/faults", {"outage": True})
    report, _ = running.run_load(plan)
    during = running.apply(running.document("during"), running.generation)
    cluster.http("PUT", running.platform, "/control/faults",
                 {"outage": False})
    cluster.print_figures("before the outage", before)
    cluster.print_figures("store outage", report)
    ratio = report["latency_ms"]["p99"] / before["latency_ms"]["p99"]
    print(f"p99 against the time before: {ratio:.2f}; a change during the "
          f"outage: {during[0]}")
    change(running, "after-outage")


def run(build):
    with cluster.Cluster(build) as running:
        cluster.start_default(running, hosts_per_zone=2)
        change(running, "second")
        apply_concurrently(running)
        outage(running)
