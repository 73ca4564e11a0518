"""Starts and stops emulators and entry hosts on loopback for experiments.

Each process is ended through its own handle, also when an experiment fails.
"""

import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request
import zlib

LOOPBACK = "127.0.0.1"
ZONES = ["mx-a", "mx-b", "mx-c"]
# Exit status of `config apply` when the document was changed concurrently.
CONFLICT = 3


def free_port():
    """Returns a port that is currently free for TCP and UDP."""
    while True:
        with socket.socket() as stream:
            stream.bind((LOOPBACK, 0))
            port = stream.getsockname()[1]
            with socket.socket(type=socket.SOCK_DGRAM) as datagram:
                try:
                    datagram.bind((LOOPBACK, port))
                    return port
                except OSError:
                    continue


def http(method, port, path, body=None, timeout=10):
    """Returns status and decoded JSON body; status 0 if there is no answer."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(
        f"http://{LOOPBACK}:{port}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            text = answer.read()
            return answer.status, json.loads(text) if text else None
    except urllib.error.HTTPError as error:
        return error.code, None
    except (OSError, ValueError):
        return 0, None


class Cluster:
    """The processes of one experiment; use it in a `with` block."""

    def __init__(self, build, zones=None):
        self.build = os.path.abspath(build)
        self.zones = zones or ZONES
        self.folder = tempfile.TemporaryDirectory(prefix="hawthornspur-")
        self.processes = []
        self.hosts = {}
        self.targets = []
        self.control_ports = []
        self.platform = None
        self.generation = 0
        self.stop_bound = "30s"

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        self.folder.cleanup()

    def path(self, name):
        return os.path.join(self.folder.name, name)

    def start(self, program, *flags, log="/dev/null", **options):
        with open(log, "ab") as lines:
            # Hosts write their log to standard output.
            options.setdefault("stdout", lines)
            process = subprocess.Popen(
                [os.path.join(self.build, program), *flags], stderr=lines,
                **options)
        self.processes.append(process)
        return process

    def start_announcing(self, program, *flags):
        process = self.start(program, *flags, stdout=subprocess.PIPE)
        line = process.stdout.readline()
        if not line:
            raise RuntimeError(f"{program} did not start")
        return process, json.loads(line)

    def start_platform(self):
        _, line = self.start_announcing("tools/platform_emulator")
        self.platform = line["port"]

    def start_targets(self, zone, count, faults=None):
        _, line = self.start_announcing(
            "tools/target_emulator", f"--targets={count}", f"--name={zone}",
            f"--faults={json.dumps(faults or {})}")
        self.control_ports += line["control_ports"]
        for index, port in enumerate(line["ports"]):
            self.targets.append(
                {"name": f"target-{zone}-{index + 1}", "zone": zone,
                 "address": LOOPBACK, "port": port,
                 "slots": (faults or {}).get("slots", 3)})

    def start_host(self, name, zone):
        """Starts or restarts an entry host; its ports stay the same."""
        ports = self.hosts.get(name, {}).get("ports") or {
            part: free_port() for part in ("callers", "peers", "administration")}
        settings = {"name": name, "zone": zone, "log_level": "warn",
                    "stop_bound": self.stop_bound, "platform_calls_per_second": 20,
                    "platform": {"address": LOOPBACK, "port": self.platform}}
        for part, port in ports.items():
            settings[part] = {"address": LOOPBACK, "port": port}
        file = self.path(name + ".json")
        with open(file, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        process = self.start("hawthornspur", "serve", f"--settings={file}",
                             log=self.path(name + ".log"))
        self.hosts[name] = {"zone": zone, "ports": ports, "process": process}

    def publish_host_list(self):
        """Publishes the list of hosts and targets to the platform."""
        rows = [{"name": name, "role": "entry", "zone": host["zone"],
                 "address": LOOPBACK, "port": host["ports"]["callers"],
                 "peer_port": host["ports"]["peers"], "state": "live"}
                for name, host in self.hosts.items()]
        rows += [{"name": target["name"], "role": "target",
                  "zone": target["zone"], "address": LOOPBACK,
                  "port": target["port"], "state": "live"}
                 for target in self.targets]
        http("PUT", self.platform, "/control/hosts", {"hosts": rows})

    def document(self, change="first", deadline="2s"):
        zones = [{"name": zone, "region": "mx",
                  "one_way_delay": {other: "5ms" for other in self.zones
                                    if other != zone}}
                 for zone in self.zones]
        kinds = [{"name": "claim", "method": "POST", "path_prefix": "/",
                  "execution": "at_most_once", "deadline": deadline},
                 {"name": "look", "method": "GET", "path_prefix": "/",
                  "execution": "idempotent", "deadline": deadline}]
        return {"generation": self.generation, "change_id": change,
                "zones": zones, "address_lifetime": "2s",
                "services": [{"name": "map", "kinds": kinds,
                              "targets": self.targets,
                              "max_answer": "64MiB",
                              # Differs for each change, as `config apply`
                              # does not store an unchanged document.
                              "max_queue": 1000 + zlib.crc32(
                                  change.encode()) % 1000,
                              "probe_budget": {"cost_per_second": "60ms"}}]}

    def apply(self, document, based_on):
        """Returns the outcome ("stored", "conflict", "failed") and the
        generation, or the output if the document was not stored."""
        file = self.path(f"{document['change_id']}.json")
        with open(file, "w", encoding="utf-8") as out:
            json.dump(document, out)
        result = subprocess.run(
            [os.path.join(self.build, "hawthornspur"), "config", "apply", file,
             f"--platform={LOOPBACK}:{self.platform}",
             f"--based_on={based_on}", "--wait=0"],
            capture_output=True, text=True, check=False)
        stored = re.search(r"stored as generation (\d+)", result.stdout)
        if result.returncode == 0 and stored:
            return "stored", int(stored.group(1))
        outcome = "conflict" if result.returncode == CONFLICT else "failed"
        return outcome, result.stdout + result.stderr

    def apply_next(self, change="first"):
        outcome, generation = self.apply(self.document(change),
                                         self.generation)
        if outcome != "stored":
            raise RuntimeError(f"apply: {outcome} {generation}")
        self.generation = generation

    def status(self, name):
        host = self.hosts[name]
        return http("GET", host["ports"]["administration"], "/status",
                    timeout=2)[1]

    def wait_until(self, condition, what, seconds=40):
        """Returns the seconds until the condition held. Raises RuntimeError
        after `seconds`."""
        begin = time.monotonic()
        while time.monotonic() - begin < seconds:
            if condition():
                return time.monotonic() - begin
            time.sleep(0.02)
        raise RuntimeError(f"timeout of {seconds} s: {what}")

    def in_force(self, generation=None):
        min_generation = generation or self.generation

        def check(name):
            status = self.status(name)
            return (status is not None and status.get("ready")
                    and status.get("generation", 0) >= min_generation)
        return all(check(name) for name in self.hosts)

    def entry(self, names=None):
        return ",".join(
            f"{LOOPBACK}:{self.hosts[name]['ports']['callers']}"
            for name in names or self.hosts)

    def owner(self, zone):
        """Returns the name of the host that owns the pool of a zone."""
        for host in self.hosts.values():
            answer = http("GET", host["ports"]["callers"],
                          "/.well-known/hawthornspur/addresses"
                          f"?service=map&zone={zone}", timeout=2)[1]
            if answer:
                return answer["addresses"][0]["host"]
        raise RuntimeError("no entry host answers")

    def target_list(self):
        return ",".join(f"{LOOPBACK}:{target['port']}"
                        for target in self.targets)

    def load(self, plan, *flags, name="report", direct=None):
        """Starts the load generator; finish() returns its report. `direct` is a
        list of servers to call without the caller library."""
        report = self.path(name + ".json")
        servers = (f"--direct={direct}" if direct else
                   f"--entry={self.entry()}")
        process = self.start(
            "tools/load_generator", f"--plan={json.dumps(plan)}", servers,
            f"--targets={self.target_list()}", f"--zones={','.join(self.zones)}",
            f"--json={report}", *flags, stdout=subprocess.PIPE, text=True)
        return process, report

    def finish(self, load):
        process, report = load
        text = process.communicate()[0]
        if process.returncode != 0:
            raise RuntimeError("the load generator failed")
        with open(report, encoding="utf-8") as saved:
            return json.load(saved), text

    def run_load(self, *arguments, **options):
        return self.finish(self.load(*arguments, **options))


def start_default(cluster, targets_per_zone=2, faults=None, hosts_per_zone=1):
    """Starts platform, targets and entry hosts, applies a configuration and
    waits until it is in force."""
    cluster.start_platform()
    for zone in cluster.zones:
        cluster.start_targets(zone, targets_per_zone, faults)
    for index in range(hosts_per_zone * len(cluster.zones)):
        cluster.start_host(f"entry-{index + 1}",
                           cluster.zones[index % len(cluster.zones)])
    cluster.publish_host_list()
    cluster.apply_next()
    cluster.wait_until(cluster.in_force, "the configuration in force")


def kinds(answer_bytes=1024, service_ms=5, deadline_ms=2000, once_share=0.2):
    time = {"median_ms": service_ms, "sigma": 0.3, "tail_probability": 0.01,
            "tail_factor": 10}
    common = {"service": "map", "deadline_ms": deadline_ms,
              "answer_bytes": answer_bytes, "service_time": time}
    all_kinds = [{"name": "look", "path": "/look", "rule": "idempotent",
                  "weight": 1 - once_share, **common}]
    if once_share > 0:
        all_kinds.append({"name": "claim", "method": "POST", "path": "/claim",
                          "rule": "at_most_once", "weight": once_share,
                          "body_bytes": 200, **common})
    return all_kinds


def violations(report):
    """Returns the number of invariant violations in a report."""
    return (sum(report["counts"][name] for name in ("partial", "foreign",
                                                    "lost"))
            + sum(report["audit"][name] for name in (
                "duplicates", "false_not_run", "answered_without_run")))


def print_figures(title, report):
    counts = report["counts"]
    print(f"{title}: offered {counts['offered']}, good {counts['good']}, "
          f"refused {counts['refused']}, failed {counts['failed']}, "
          f"codes {report['codes']}, violations {violations(report)}, "
          f"p50 {report['latency_ms']['p50']:.2f} ms, "
          f"p99 {report['latency_ms']['p99']:.2f} ms", flush=True)
