#!/usr/bin/env python3
"""Prints a day of 75 s with planned works, faults and a final fault, drawn by lot.

Usage: deploy/long_day.py SEED > DAY.toml
"""
import random
import sys

CLOSINGS = ["wipe_after_ack", "power_off_all", "kill_all"]
PLAN = [
    'kind = "replace_core", how = "planned", x = 1',
    'kind = "roll_term", share = 1.0, x = 2, gap_s = 1.0',
    'kind = "roll_term", on = "core", share = 1.0, x = 1, gap_s = 2.0, how = "leader"',
    'kind = "config_storm", for_s = 15.0, gap_s = 0.4',
    'kind = "scale_in", share = 0.3',
    'kind = "scale_out", share = 0.4, gap_s = 2.0',
    'kind = "seed_turnover"',
    'kind = "release", share = 0.5, x = 2, gap_s = 1.0',
]
FAULTS = [
    'kind = "disk_full", count = 1, for_s = 8.0',
    'kind = "after_ack_wipe", count = 1, for_s = 3.0',
    'kind = "srv_crash", how = "all", share = 1.0, for_s = 4.0',
    'kind = "srv_cut", how = "reborn", share = 1.0, for_s = 6.0',
    'kind = "srv_grey", how = "shed all", x = 0.55, for_s = 8.0',
    'kind = "node_freeze", on = "core", count = 1, how = "leader", for_s = 6.0',
    'kind = "node_kill", on = "core", count = 1, how = "leader power", for_s = 4.0',
    'kind = "herd_kill", share = 0.6, how = "power"',
    'kind = "herd_kill", on = "core", how = "off", for_s = 2.0',
    'kind = "replace_with_reuse", share = 0.3, how = "dark"',
    'kind = "clock_step", x = 20000, share = 0.5, how = "ahead", for_s = 5.0',
]


def entries(lot, kinds, count, last):
    chosen = lot.sample(kinds, count)
    times = sorted(round(lot.uniform(5.0, last), 1) for _ in chosen)
    return "".join(f"  {{ at = {at}, {kind} }},\n" for at, kind in zip(times, chosen))


def main():
    lot = random.Random(int(sys.argv[1]))
    closing = lot.choice(CLOSINGS)
    down = round(lot.uniform(0.5, 2.0), 2)
    print("length_s = 75.0")
    print(f'closing = {{ kind = "{closing}", down_s = {down} }}')
    print(f"plan = [\n{entries(lot, PLAN, 4, 55.0)}]")
    # The targets are back before the final fault, after which the return is judged.
    print(f"faults = [\n{entries(lot, FAULTS, 6, 60.0)}]")


main()
