"""A planned stop breaks off requests that the host accepted too late."""

import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # pylint: disable=wrong-import-position

WORK = 2.6        # seconds that an upstream works on a request
DEADLINE_MS = 4_000
EXCUSED = 3.0     # requests sent until then may be cut in the last sixth
SENDS = [3.05, 3.09, 3.13, 3.17, 3.21, 3.25]  # after the SIGTERM
RESTART = 0.5     # delay after which the platform starts the process again


def play(record):
    fleet = standins.Fleet(record, ["centro-a"], 3)
    try:
        upstreams = [standins.Upstream(record, f"i-tally{index}", "tally",
                                       "centro-a", standins.UPSTREAM_ADDRESS, WORK)
                     for index in (1, 2)]
        for upstream in upstreams:
            fleet.store.put("servers/" + upstream.name, upstream.entry())
        fleet.store.put("op/config", standins.configuration(
            7, [standins.route("r-tally", "/tally/", "tally",
                               "non_idempotent", timeout_ms=DEADLINE_MS)],
            ["tally"]))
        fleet.start()
        if not fleet.wait_until_ready():
            raise RuntimeError("the hosts did not become ready")
        time.sleep(1)
        return cut_requests(record, fleet.hosts[0], upstreams) > 0
    finally:
        fleet.stop()


def send(record, host, stopped, at, results):
    time.sleep(max(0, stopped + at - time.monotonic()))
    sent = time.monotonic()
    request_id = f"long-{at}"
    try:
        status, _, _ = standins.exchange(
            host.front(), standins.make_request(
                "PUT", "/tally/1", request_id, DEADLINE_MS, b"x"), "PUT", 6)
    except (standins.Closed, OSError) as problem:
        status = repr(problem)
    taken = time.monotonic() - sent
    record.write(f"client got {status} for {request_id} after {taken:.3f} s")
    results.append((request_id, sent - stopped, status, taken))


def cut_requests(record, host, upstreams):
    """Clients send long requests to a host that stops. Returns how many were
    broken off."""
    if standins.has_trouble():
        host.signal(signal.SIGTERM)
    stopped = time.monotonic()
    results = []
    threads = [threading.Thread(target=send,
                                args=(record, host, stopped, at, results))
               for at in SENDS]
    for thread in threads:
        thread.start()
    if standins.has_trouble():
        host.process.wait(10)
        record.write(f"host {host.name} exited with {host.process.returncode}, "
                     f"{time.monotonic() - stopped:.3f} s after SIGTERM")
        time.sleep(RESTART)
        host.start()
    for thread in threads:
        thread.join()
    ran = {run[1] for upstream in upstreams for run in upstream.runs}
    lost = [row for row in results
            if row[0] in ran and row[1] > EXCUSED and row[2] != 200 and
            row[3] < 0.95 * DEADLINE_MS / 1000]
    for request_id, sent, status, taken in lost:
        record.write(f"broken: LOST, {request_id} was sent {sent:.3f} s after "
                     f"SIGTERM, its upstream was at work, and the client got "
                     f"{status} after {taken:.3f} s")
    return len(lost)


standins.run_case(FOLDER, play)
