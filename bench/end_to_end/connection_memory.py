"""Measures the memory of an entry host per idle caller connection and per
queued request, at several counts, with a linear fit."""

import resource
import socket
import statistics
import time

import cluster
from control_cost import resident_bytes

IDLE_COUNTS = (1000, 4000, 9000)
# Above this the host refuses requests because the estimated wait exceeds the
# deadline.
QUEUED_COUNTS = (100, 300, 500)
SETTLE_SECONDS = 1
REQUEST = (b"GET /look HTTP/1.1\r\nHost: map\r\n"
           b"X-Service-Time-Us: 20000000\r\n\r\n")


def connect(port, count, payload=b""):
    connections = []
    for _ in range(count):
        connection = socket.create_connection((cluster.LOOPBACK, port))
        if payload:
            connection.sendall(payload)
        connections.append(connection)
    return connections


def growth(build, count, payload):
    """Returns the growth of a newly started host in bytes, and its calls in
    flight."""
    with cluster.Cluster(build, zones=["mx-a"]) as running:
        cluster.start_default(running, targets_per_zone=1, faults={"slots": 1})
        host = next(iter(running.hosts.values()))
        before = resident_bytes(host["process"].pid)
        connections = connect(host["ports"]["callers"], count, payload)
        time.sleep(SETTLE_SECONDS)
        status = running.status(next(iter(running.hosts)))
        after = resident_bytes(host["process"].pid)
        for connection in connections:
            connection.close()
    return after - before, status["calls_in_flight"]


def series(build, label, counts, payload):
    sizes = []
    for count in counts:
        size, calls = growth(build, count, payload)
        sizes.append(size)
        print(f"{count} {label}: {size / 2**20:.1f} MiB, calls in flight "
              f"{calls}", flush=True)
    slope, intercept = statistics.linear_regression(counts, sizes)
    error = max(abs(intercept + slope * count - size)
                for count, size in zip(counts, sizes))
    print(f"  fit: {slope:.0f} B for each, largest deviation "
          f"{error / 2**10:.0f} KiB", flush=True)


def run(build):
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    series(build, "idle connections", IDLE_COUNTS, b"")
    series(build, "queued requests", QUEUED_COUNTS, REQUEST)
