"""The operator takes a key away, in a configuration with a new tenant of rank
10."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import deployment as kit  # pylint: disable=wrong-import-position

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REVOKE_MS = 5000
WATCHED_S = 15
# VARIANT=name shows the same with a tenant whose name has a space.
VARIANT = os.environ.get("VARIANT", "priority")


def tenant(name, keys, priority=1):
    return {"resource_kind": "tenants", "metadata": {"name": name},
            "spec": {"api_keys": keys, "priority": priority, "rate_per_s": 210,
                     "burst": 210}}


async def case():
    lab = kit.Lab(FOLDER, zones=("a", "b"), hosts_per_zone=2,
                  bounds={"enforce_revoke": True, "revoke_ms": REVOKE_MS,
                          "quota_window_s": 5, "quota_overage": 0.1,
                          "quota_slack": 20})
    lab.upstreams = [kit.Upstream(lab, "desk", zone) for zone in lab.zones
                     for _ in range(3)]
    common = [kit.route("filing", "/filing/", "non_idempotent", "desk",
                        public=False), kit.service("desk"), kit.limits()]
    sent = {}  # request: its key, and when it was sent
    refused = {}

    async def client(zone, key, end):
        while time.monotonic() < end:
            host = (await lab.resolve(zone))[0]
            identity = lab.new_id()
            sent[identity] = (key, time.monotonic())
            lab.record.write(f"send {identity} with {key} to {host.name}")
            answer = await lab.call(
                host, "POST", "/filing/1",
                [f"X-Request-Id: {identity}", "X-Deadline-Ms: 2000",
                 f"Authorization: Token {key}"], b"x" * 300)
            lab.record.write(f"answer to {identity}: {answer.status} "
                             f"{answer.problem}")
            if answer.status == 401:
                refused[key] = refused.get(key, 0) + 1
            await asyncio.sleep(0.2)

    try:
        await lab.open(common + [tenant("huka270", ["kept-1", "taken"]),
                                 tenant("rila118", ["kept-2"])])
        end = time.monotonic() + 2 + WATCHED_S
        clients = asyncio.gather(*(client(zone, key, end) for zone in lab.zones
                                   for key in ("taken", "kept-2")))
        await asyncio.sleep(2)
        name = "Karachi Freight" if VARIANT == "name" else "zoto331"
        priority = 1 if VARIANT == "name" else 10
        if not TROUBLE:
            name, priority = "zoto331", 1
        lab.put_config(common + [tenant("huka270", ["kept-1"]),
                                 tenant("rila118", ["kept-2"]),
                                 tenant(name, ["added"], priority)], 8)
        acknowledged = time.monotonic()
        lab.record.write("acknowledged: the key `taken` is taken away")
        await clients
    finally:
        await lab.close()
    late = [identity for identity, (key, when) in sent.items()
            if key == "taken" and identity in lab.runs
            and when > acknowledged + REVOKE_MS / 1000]
    result = (f"{len(sent)} requests, refused with 401: {refused}; CONFIG, ran "
              f"with a key taken away over {REVOKE_MS} ms before: {len(late)}")
    lab.record.write(result)
    print(result)
    return late


kit.run_case(case)
