"""A request that stands in the body of a HEAD request."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # pylint: disable=wrong-import-position

ZONES = ["centro-a", "centro-b"]
WORK = 0.3
OTHERS = 8


def play(record):
    fleet = standins.Fleet(record, ZONES, 2)
    sent = {}  # id: (method, path, body)
    try:
        upstreams = [
            standins.Upstream(record, f"i-{service}-{zone[-1]}{index}", service, zone,
                              standins.UPSTREAM_ADDRESS, WORK)
            for service in ("plaza", "pay") for zone in ZONES
            for index in (1, 2)]
        fleet.store.put("op/config", standins.configuration(
            7, [standins.route("r-plaza", "/plaza/", "plaza"),
                standins.route("r-pay", "/pay/", "pay", "non_idempotent")],
            ["plaza", "pay"]))
        for upstream in upstreams:
            fleet.store.put("servers/" + upstream.name, upstream.entry())
        fleet.start()
        if not fleet.wait_until_ready():
            raise RuntimeError("the hosts did not become ready")
        time.sleep(1)
        foreign = 0
        for host in fleet.hosts:
            foreign += talk(record, host, sent)
        others = talk_beside_others(record, fleet.hosts[0], sent)
        ran = {run[1] for upstream in upstreams for run in upstream.runs}
        cut = [request_id for other in others for request_id in other.cut
               if request_id in ran]
        unasked = [run for upstream in upstreams for run in upstream.runs
                   if run[1] not in sent]
        for run in unasked:
            record.write(f"broken: UNASKED, no client sent request {run[1]} "
                         f"({run[2]} {run[3]}), which ran")
        for host in fleet.hosts:
            if host.process.poll() is not None:
                record.write(f"host {host.name} has ended by itself with "
                             f"{host.process.returncode}")
        if len(cut) > 3:
            record.write(f"broken: LOST, {len(cut)} requests of other clients "
                         f"ran and their connections were closed without an "
                         f"answer: {cut}")
        if foreign:
            record.write(f"broken: MIXED, {foreign} answers belong to another "
                         "request")
        return bool(unasked or foreign or len(cut) > 3)
    finally:
        fleet.stop()


class Other(threading.Thread):
    """Another client of the host, with a kept connection."""

    def __init__(self, record, host, index, sent, end):
        super().__init__(daemon=True)
        self.record = record
        self.host = host
        self.index = index
        self.sent = sent
        self.end = end
        self.cut = []  # requests after the first on the connection, unanswered

    def run(self):
        number = 0
        with socket.create_connection(self.host.front(), timeout=5) as kept:
            reader = standins.Reader(kept)
            while time.monotonic() < self.end:
                number += 1
                request_id = f"other{self.index}-{number}"
                self.sent[request_id] = ("PUT", "/pay/1", b"x")
                try:
                    kept.sendall(standins.make_request("PUT", "/pay/1",
                                                       request_id, body=b"x"))
                    reader.answer("PUT")
                except (standins.Closed, OSError) as problem:
                    self.record.write(f"client got no answer for {request_id}: "
                                      f"{problem}")
                    if number > 1:
                        self.cut.append(request_id)
                    return


def talk_beside_others(record, host, sent):
    """Other clients use the host while one sends a HEAD and a GET request at
    once, without waiting for the first answer."""
    end = time.monotonic() + 4
    others = [Other(record, host, index, sent, end) for index in range(OTHERS)]
    for other in others:
        other.start()
        time.sleep(WORK / OTHERS)
    time.sleep(1)
    sent["head-p"] = sent["get-p"] = None
    inner = standins.make_request("PUT", "/pay/45", "inner-p",
                                  body=b"amount=200")
    both = standins.make_request(
        "HEAD", "/plaza/3", "head-p",
        body=inner if standins.has_trouble() else b"")
    both += standins.make_request("GET", "/plaza/4", "get-p")
    record.write(f"client sends head-p and get-p to {host.name} at once, "
                 f"{len(both)} bytes")
    try:
        with socket.create_connection(host.front(), timeout=5) as connection:
            connection.sendall(both)
            reader = standins.Reader(connection)
            for method in ("HEAD", "GET"):
                status, headers, _ = reader.answer(method)
                record.write(f"client got {status} with the id "
                             f"{headers.get('x-request-id')}")
    except (standins.Closed, OSError) as problem:
        record.write(f"client got no answer: {problem}")
    for other in others:
        other.join()
    return others


def talk(record, host, sent):
    """Sends a HEAD request and a GET request on one connection. Returns how
    many answers belong to another request."""
    foreign = 0
    # Not sent as a request by any client.
    inner = standins.make_request("PUT", "/pay/44", f"inner-{host.name}",
                                  body=b"amount=100")
    with socket.create_connection(host.front(), timeout=5) as connection:
        reader = standins.Reader(connection)
        for method, path, body in (
                ("HEAD", "/plaza/1", inner if standins.has_trouble() else b""),
                ("GET", "/plaza/2", b"")):
            request_id = f"{method.lower()}-{host.name}"
            sent[request_id] = (method, path, body)
            record.write(f"client sends {request_id} {method} {path} to "
                         f"{host.name} with a body of {len(body)} bytes")
            connection.sendall(standins.make_request(method, path, request_id,
                                                     body=body))
            status, headers, text = reader.answer(method)
            answered = headers.get("x-request-id")
            record.write(f"client got {status} for {request_id}, with the id "
                         f"{answered} and {text!r}")
            foreign += answered != request_id
            time.sleep(0.2)
    return foreign


standins.run_case(FOLDER, play)
