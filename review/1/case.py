"""A request that stands in the body of a HEAD request."""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standins  # pylint: disable=wrong-import-position

ZONES = ["centro-a", "centro-b"]


def play(record):
    fleet = standins.Fleet(record, ZONES, 2)
    sent = {}  # id: (method, path, body)
    try:
        upstreams = [
            standins.Upstream(record, f"i-{service}-{zone[-1]}{index}", service, zone,
                              "127.0.12.1")
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
        time.sleep(1)
        unasked = [run for upstream in upstreams for run in upstream.runs
                   if run[1] not in sent]
        for run in unasked:
            record.write(f"broken: UNASKED, no client sent request {run[1]} "
                         f"({run[2]} {run[3]}), which ran")
        if foreign:
            record.write(f"broken: MIXED, {foreign} answers belong to another "
                         "request")
        return bool(unasked or foreign)
    finally:
        fleet.stop()


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
