"""A configuration with a long timeout doesn't reach the hosts that get it from
other hosts."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # pylint: disable=wrong-import-position

APPLY = 2.0   # config_apply_ms
CHECK_AFTER = 8.0
CHECKS = 5
TIMEOUT_MS = 90_000 if standins.has_trouble() else 2_500


def play(record):
    fleet = standins.Fleet(record, ["centro-a"], 8)
    try:
        upstreams = [standins.Upstream(record, f"i-{service}{index}", service,
                                       "centro-a", standins.UPSTREAM_ADDRESS)
                     for service in ("plaza", "pay") for index in (1, 2)]
        for upstream in upstreams:
            fleet.store.put("servers/" + upstream.name, upstream.entry())
        old = [standins.route("r-plaza", "/plaza/", "plaza"),
               standins.route("r-pay", "/pay/", "pay", "non_idempotent")]
        fleet.store.put("op/config", standins.configuration(
            7, old, ["plaza", "pay"]))
        fleet.start()
        if not fleet.wait_until_ready():
            raise RuntimeError("the hosts did not become ready")
        time.sleep(4)
        for host in fleet.hosts:
            ask(record, host, "/plaza/1", "before")
        # The timeout of one route changes, and a route is added.
        new = [standins.route("r-plaza", "/plaza/", "plaza"),
               standins.route("r-pay", "/pay/", "pay", "non_idempotent",
                              timeout_ms=TIMEOUT_MS),
               standins.route("r-added", "/added/", "plaza")]
        acknowledged = fleet.store.put("op/config", standins.configuration(
            9, new, ["plaza", "pay"]))
        refused = []
        for number in range(CHECKS):
            time.sleep(max(0, acknowledged + CHECK_AFTER + 2 * number -
                           time.monotonic()))
            for host in fleet.hosts:
                sent = time.monotonic() - acknowledged
                assert sent > APPLY
                if ask(record, host, "/added/1", f"added-{number}") == 404:
                    refused.append(host.name)
                    record.write(f"broken: CONFIG, {host.name} refused the "
                                 f"added route with 404, {sent:.3f} s after "
                                 "the acknowledgement of the version")
        for host in fleet.hosts:
            if host.process.poll() is not None:
                raise RuntimeError(f"{host.name} has ended")
        record.write(f"{len(refused)} of {CHECKS * len(fleet.hosts)} requests "
                     f"refused with 404, by {sorted(set(refused))}")
        return bool(refused)
    finally:
        fleet.stop()


def ask(record, host, path, name):
    try:
        status, _, _ = standins.exchange(
            host.front(), standins.make_request("GET", path,
                                                f"{name}-{host.name}"),
            "GET", 4)
    except (standins.Closed, OSError) as problem:
        status = repr(problem)
    record.write(f"client got {status} for GET {path} at {host.name}")
    return status


standins.run_case(FOLDER, play)
