#!/usr/bin/env python3
"""Lays two deployments beside the users' own, for the bench: lay.py SITE [FOLDER].

SITE is a site file of the users' kit. Of it only the lines named below are changed; the results, with
the files that the bench wants beside them, go into FOLDER (deploy/sites/laid, which git ignores).
"""
import pathlib
import re
import shutil
import sys

# What is changed, by the file's sections: `name[i]` is the i-th section of that name. None takes a line out, and a
# whole section where no key is named.
SITES = {
    # No zones to speak of, one class that may not be repeated, admission by share, no limit on messages.
    "harbour": {
        "name": '"harbour"',
        "net.zones": '["quay"]',
        "net.cross_ms": "[0.3, 0.4]",
        "class[0].name": '"berth"',
        "class[0].share": "[1, 1]",
        "class[0].work_ms": "[90, 140]",
        "class[0].aim_ms": "900",
        "class[0].deadline_ms": "2500",
        "class[0].worth": "1",
        "class[0].effect": '"unsafe"',
        "class[1]": None,
        "class[2]": None,
        "allow.retry_after": "false",
        "allow.max_attempts": "3",
        "fam.admit": '"share"',
        "fam.usual_how": "1",
        "fam.messages_most": "0",
        "fam.order_price": "0.06",
        "fam.standing": "6",
        "fam.lines_per_s": "[5000, 7000]",
        "fam.rehome_s": "0",
        "prices.cross_zone": "0",
        "prices.waste": "0.01",
        "rules.fall_multiple": "2",
    },
    # Four zones, five classes of which two share a name's beginning, tight messages, other deadlines and costs.
    "foundry": {
        "name": '"foundry"',
        "net.zones": '["z1", "z2", "z3", "z4"]',
        "net.cross_ms": "[1.5, 2.5]",
        "class[0].name": '"melt"',
        "class[0].share": "[0.1, 0.2]",
        "class[0].aim_ms": "600",
        "class[0].deadline_ms": "1500",
        "class[0].worth": "6",
        "class[1].name": '"melt-2"',
        "class[1].share": "[0.3, 0.4]",
        "class[1].aim_ms": "1500",
        "class[1].deadline_ms": "6000",
        "class[1].worth": "1",
        "class[2].name": '"pour"',
        "class[2].share": "[0.1, 0.2]",
        "class[2].worth": "9",
        "class[3]": {"name": '"cool"', "share": "[0.1, 0.2]", "work_ms": "[200, 300]", "dist": '"lognormal"',
                     "cv": "[0.5, 0.8]", "attempt_noise": "[0.1, 0.3]", "aim_ms": "2500", "deadline_ms": "5000",
                     "worth": "0.5", "late_worth": "0.5", "effect": '"safe"'},
        "class[4]": {"name": '"weigh"', "share": "[0.1, 0.2]", "work_ms": "[60, 90]", "dist": '"lognormal"',
                     "cv": "[0.5, 0.8]", "attempt_noise": "[0.1, 0.3]", "aim_ms": "700", "deadline_ms": "1800",
                     "worth": "2", "late_worth": "0", "effect": '"safe"'},
        "tier.report.fields": '["inflight", "util"]',
        "tier[0].weights": '"none"',
        "allow.retry_after": "false",
        "fam.admit": '"rate"',
        "fam.messages_most": "12",
        "fam.refuse_wait_ms": "400",
        "fam.backlog_ms": "1200",
        "fam.period_s": "1",
        "fam.order_price": "0.05",
        "rules.drain_grace_ms": "4000",
        "rules.fall_ms": "2000",
        "prices.cross_zone": "0.15",
        "prices.late_fail": "0.02",
    },
}

BESIDE = ("real.json", "wire.json", "unlock.txt")


def lay(text, changes):
    """Gives the text with its changes; each of them must meet a line or a section."""
    changes = dict(changes)
    counts, out, section, skipped, last = {}, [], "", False, {}

    def flush_new():
        for key in [k for k, v in changes.items() if isinstance(v, dict)]:
            name, index = re.fullmatch(r"(\w+)\[(\d+)\]", key).groups()
            if last.get(name) == int(index) - 1 and section.startswith(name + "["):
                out.append(f"\n[[{name}]]")
                out.extend(f"{k} = {v}" for k, v in changes.pop(key).items())
                last[name] = int(index)

    for line in text.splitlines():
        if head := re.fullmatch(r"\[\[(.+)\]\]", line):
            flush_new()
            name = head[1]
            counts[name] = counts.get(name, -1) + 1
            section, last[name] = f"{name}[{counts[name]}]", counts[name]
            skipped = changes.pop(section, "") is None
        elif head := re.fullmatch(r"\[(.+)\]", line):
            flush_new()
            section, skipped = head[1], False
        elif pair := re.match(r"(\w+) = ", line):
            key = f"{section}.{pair[1]}" if section else pair[1]
            if key in changes:
                value = changes.pop(key)
                line = None if value is None else f"{pair[1]} = {value}"
        if line is not None and not skipped:
            out.append(line)
    if changes:
        sys.exit(f"no such line or section: {', '.join(changes)}")
    return "\n".join(out) + "\n"


def main():
    site = pathlib.Path(sys.argv[1])
    to = pathlib.Path(sys.argv[2]) if len(sys.argv) > 2 else pathlib.Path(__file__).parent / "laid"
    to.mkdir(parents=True, exist_ok=True)
    source = site.read_text()
    for name, changes in SITES.items():
        (to / f"{name}.toml").write_text(lay(source, changes))
    for name in BESIDE:
        shutil.copyfile(site.parent / name, to / name)
        (to / name).chmod(0o644)


main()
