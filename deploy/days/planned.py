#!/usr/bin/env python3
"""Writes days with planned work from start to end and faults that are over by 23 s:

    deploy/days/planned.py DIRECTORY COUNT FIRST-SEED

Owners of pools follow one another while hosts of service tasks are lost for good and other workers do not
answer, so that tasks wait over several owners. A seed always gives the same day.
"""
import random
import sys
from pathlib import Path

FAULTS_END_S = 23.0
TRAFFIC_END_S = 33.0
CLOSINGS = [
    'kind = "power_off_all", down_s = 1.6, how = "taken"',
    'kind = "power_off_all", down_s = 1.5, how = "all"',
    'kind = "kill_all", down_s = 1.2',
    None,
]


def entry(at, kind, **fields):
    parts = [f"at = {at:.2f}", f'kind = "{kind}"']
    for name, value in fields.items():
        if isinstance(value, float):
            parts.append(f"{name} = {value:.2f}")
        elif isinstance(value, int):
            parts.append(f"{name} = {value}")
        elif value is not None:
            parts.append(f'{name} = "{value}"')
    return "{ " + ", ".join(parts) + " }"


def restarts(r):
    """Planned restarts: overlapping rolls, or single restarts of the entry that acted last."""
    how = r.choice(["leader", "starter"])
    if r.random() < 0.4:
        start = r.uniform(8, 14)
        return [
            entry(start + i * r.uniform(1, 6), "roll_term", share=r.uniform(0.4, 1.0), x=float(r.choice([1, 2])),
                  gap_s=r.uniform(0.4, 1.5), how=r.choice(["leader", "starter", None]))
            for i in range(r.choice([2, 3]))
        ]
    entries, at, gap = [], r.uniform(12, 19), r.uniform(0.7, 2.8)
    while at < TRAFFIC_END_S:
        entries.append(entry(at, "roll_term", on="core", count=1, how=how))
        at += gap * r.uniform(0.8, 1.2)
    return entries


def lost_owners(r, at):
    """Owners that are lost just after a time: all strong entries at once, or one after the other."""
    if r.random() < 0.6:
        return [entry(at + r.uniform(0, 0.4), "node_kill", on="core", share=r.uniform(0.8, 1.0), how="power", for_s=r.uniform(1, 3))]
    how = r.choice(["leader", "starter", "leader power"])
    entries = []
    while at < FAULTS_END_S - 2.5:
        entries.append(entry(at, "node_kill", count=1, how=how, for_s=r.uniform(1, 2)))
        at += r.uniform(1, 2.5)
    return entries


def lost_hosts(r, at):
    """Hosts of services that are lost for good, and workers that answer nobody until the faults end."""
    kind, how = r.choice([
        ("srv_crash", "gone"), ("srv_crash", "gone"), ("srv_crash", "dark"), ("srv_crash", "rack dark"),
        ("scale_in", "reclaim"), ("replace_with_reuse", "dark"),
    ])
    fields = {"scale_in": {"x": 1.0, "for_s": 3.0}, "srv_crash": {"for_s": r.uniform(1, 4)}}.get(kind, {})
    entries = [entry(at + 0.1, kind, how=how, share=r.uniform(0.15, 0.4), **fields)]
    kind, how = r.choice([("node_cut", "servers"), ("node_cut", "servers one_way"), ("srv_cut", None), ("srv_grey", "hang")])
    x = 1.0 if kind == "srv_grey" else None
    if r.random() < 0.75:
        entries.append(entry(at, kind, how=how, share=r.uniform(0.1, 0.35), x=x, for_s=FAULTS_END_S - at))
    return entries


def day(seed):
    """Returns the text of the day of a seed."""
    r = random.Random(seed)
    plan = [entry(r.uniform(1, 3), "wave", share=r.uniform(0.4, 0.7), for_s=r.uniform(24, 28), how=r.choice(["rack", "rack", ""]))]
    plan += restarts(r)
    if r.random() < 0.5:
        plan.append(entry(r.uniform(15, 30), "config_change", how=r.choice(["route", "weights", "timeout", "idle", "quota"])))
    if r.random() < 0.3:
        plan.append(entry(r.uniform(20, 28), "replace_core", x=1.0, how="planned"))
    at = r.uniform(9, 20)
    faults = lost_hosts(r, at) + lost_owners(r, at + 0.2)
    if r.random() < 0.3:
        faults.append(entry(r.uniform(4, 16), "burst", x=r.uniform(1.4, 2.4), for_s=r.uniform(4, 7)))
    closing = r.choice(CLOSINGS)
    text = f'# Planned work all day, faults until {FAULTS_END_S:.0f} s.\nname = "planned-{seed}"\n'
    if closing:
        text += f"closing = {{ {closing} }}\n"
    for name, entries in (("plan", plan), ("faults", faults)):
        text += f"{name} = [\n" + "".join(f"  {e},\n" for e in entries) + "]\n"
    return text


if __name__ == "__main__":
    directory, count, first = Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3])
    directory.mkdir(parents=True, exist_ok=True)
    for seed in range(first, first + count):
        (directory / f"planned-{seed}.toml").write_text(day(seed))
