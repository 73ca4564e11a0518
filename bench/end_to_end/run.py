#!/usr/bin/env python3
"""Runs end-to-end experiments on loopback and prints their figures.
Usage: run.py BUILD [EXPERIMENT...]"""

import sys

import added_time
import call_cost
import configuration_changes
import connection_memory
import control_cost
import host_failures
import rolling_restart

EXPERIMENTS = {
    "added_time": added_time.run,
    "rolling_restart": rolling_restart.run,
    "configuration_changes": configuration_changes.run,
    "host_failures": host_failures.run,
    "call_cost": call_cost.run,
    "control_cost": control_cost.run,
    "connection_memory": connection_memory.run,
}


def main():
    build = sys.argv[1]
    failed = 0
    for name in sys.argv[2:] or EXPERIMENTS:
        print(f"== {name}", flush=True)
        try:
            EXPERIMENTS[name](build)
        except (RuntimeError, OSError, KeyError) as error:
            # Continue with the other experiments.
            print(f"{name} did not finish: {error}", flush=True)
            failed += 1
    return 1 if failed else 0


sys.exit(main())
