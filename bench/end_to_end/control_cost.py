"""Measures the resources of an entry host without requests: bytes on links and
in datagrams, processor time and memory, at several numbers of hosts and
targets, with a linear fit."""

import os
import statistics
import time
import urllib.request

from cluster import LOOPBACK, Cluster

HOST_COUNTS = (3, 8, 19)
TARGET_COUNTS = (30, 300, 900)
MEASURED_SECONDS = 6
BYTE_COUNTERS = {
    "datagrams": ("hawthornspur_datagram_bytes_sent_total",
                  "hawthornspur_datagram_bytes_received_total"),
    "links": ("hawthornspur_peer_bytes_sent_total",
              "hawthornspur_peer_bytes_received_total"),
}


def metrics(port):
    with urllib.request.urlopen(
            f"http://{LOOPBACK}:{port}/metrics", timeout=5) as answer:
        rows = (line.split() for line in answer.read().decode().splitlines()
                if line and not line.startswith("#"))
        return {row[0]: float(row[1]) for row in rows}


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def read_all(cluster):
    """Returns the current counters of all hosts."""
    rows = {}
    for name, host in cluster.hosts.items():
        counters = metrics(host["ports"]["administration"])
        row = {kind: sum(counters[name] for name in names)
               for kind, names in BYTE_COUNTERS.items()}
        row["cpu"] = processor_seconds(host["process"].pid)
        row["memory"] = resident_bytes(host["process"].pid)
        rows[name] = row
    return rows


def padded_document(cluster, targets):
    """Returns a document with this many targets in services of 25. Only the
    targets of the first service exist."""
    document = cluster.document("padded")
    template = document["services"][0]
    for index in range(max(0, targets // 25 - 1)):
        rows = [dict(cluster.targets[0], name=f"t-{index}-{row}",
                     zone=cluster.zones[row % len(cluster.zones)],
                     port=20000 + row) for row in range(25)]
        document["services"].append(
            dict(template, name=f"service-{index}", targets=rows))
    return document


def measure(build, hosts, targets):
    with Cluster(build) as cluster:
        cluster.start_platform()
        for zone in cluster.zones:
            cluster.start_targets(zone, 2)
        for index in range(hosts):
            cluster.start_host(f"entry-{index}",
                               cluster.zones[index % len(cluster.zones)])
        cluster.publish_host_list()
        outcome, generation = cluster.apply(padded_document(cluster, targets),
                                            0)
        if outcome != "stored":
            raise RuntimeError(f"apply: {generation}")
        cluster.wait_until(
            lambda: all((cluster.status(name) or {}).get("generation") ==
                        generation for name in cluster.hosts),
            "the configuration in force")
        time.sleep(2)
        before = read_all(cluster)
        begin = time.monotonic()
        time.sleep(MEASURED_SECONDS)
        after = read_all(cluster)
        elapsed = time.monotonic() - begin
    result = {}
    for kind in ("datagrams", "links", "cpu"):
        result[kind] = statistics.mean(
            (after[name][kind] - before[name][kind]) / elapsed
            for name in after)
    result["memory"] = statistics.mean(row["memory"] for row in after.values())
    return result


def print_fit(label, sizes, values, unit):
    slope, intercept = statistics.linear_regression(sizes, values)
    error = max(abs(intercept + slope * size - value)
                for size, value in zip(sizes, values))
    print(f"  fit {label}: {intercept:.6g} + {slope:.6g} x n {unit}, "
          f"largest deviation {error:.3g}", flush=True)


def describe(row):
    return (f"datagrams {row['datagrams']:.0f} B/s, links "
            f"{row['links']:.0f} B/s, cpu {100 * row['cpu']:.2f}% of a core, "
            f"memory {row['memory'] / 2**20:.1f} MiB")


def series(build, label, sizes, arguments):
    rows = []
    for size in sizes:
        row = measure(build, *arguments(size))
        rows.append(row)
        print(f"{size} {label}: {describe(row)}", flush=True)
    for kind, unit in (("datagrams", "B/s"), ("links", "B/s"),
                       ("cpu", "cores"), ("memory", "B")):
        print_fit(kind, sizes, [row[kind] for row in rows], unit)


def run(build):
    print("sent and received bytes of an idle host, mean of all hosts")
    series(build, "hosts", HOST_COUNTS, lambda size: (size, 30))
    series(build, "targets", TARGET_COUNTS, lambda size: (3, size))
