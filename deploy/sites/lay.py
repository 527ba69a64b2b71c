#!/usr/bin/env python3
"""Create variants of a deployment for the operators' bench.

usage: lay.py SITE [FOLDER]

SITE is a site file (TOML) of the operators' kit. Each variant is that file with some lines changed. Scores on the variants
show whether the program works on deployments for which it was not tuned. The variants, and copies of the files that the
bench expects in the same folder, are written to FOLDER; the default is deploy/sites/laid, which git ignores.
"""

import pathlib
import re
import shutil
import sys

# Changes to a site file, by place. A place is `section.key`, or `section[i]` for the whole i-th section of a list of
# sections. The value is the new text of the key, None to remove the line or section, or the keys of a new section that
# is appended to its list.
Section = dict[str, str]
Changes = dict[str, str | Section | None]

VARIANTS: dict[str, Changes] = {
    # One zone, one request class that is not idempotent, rate limits as ratios, no limit on messages.
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
    # Four zones, five request classes (one name is a prefix of another), few messages, other deadlines and costs.
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
        "class[3]": {
            "name": '"cool"',
            "share": "[0.1, 0.2]",
            "work_ms": "[200, 300]",
            "dist": '"lognormal"',
            "cv": "[0.5, 0.8]",
            "attempt_noise": "[0.1, 0.3]",
            "aim_ms": "2500",
            "deadline_ms": "5000",
            "worth": "0.5",
            "late_worth": "0.5",
            "effect": '"safe"',
        },
        "class[4]": {
            "name": '"weigh"',
            "share": "[0.1, 0.2]",
            "work_ms": "[60, 90]",
            "dist": '"lognormal"',
            "cv": "[0.5, 0.8]",
            "attempt_noise": "[0.1, 0.3]",
            "aim_ms": "700",
            "deadline_ms": "1800",
            "worth": "2",
            "late_worth": "0",
            "effect": '"safe"',
        },
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

# Files that the bench expects in the folder of a site.
COMPANIONS = ("real.json", "wire.json", "unlock.txt")

# Permissions of the copies. The files of the kit may be read-only.
FILE_MODE = 0o644


class UnusedChange(Exception):
    """A change names a line or section that is not in the site file."""


class Variant:
    """A variant that is being written: its lines so far and the changes whose place has not been reached."""

    def __init__(self, changes: Changes) -> None:
        self.pending = dict(changes)
        self.lines: list[str] = []
        self.section = ""  # current section, `name[i]` in a list of sections
        self.removed = False  # the current section is removed
        self.counts: dict[str, int] = {}  # sections so far, by the name of their list

    def add(self, line: str) -> None:
        """Process the next line of the site file."""
        if head := re.fullmatch(r"\[\[(.+)\]\]", line):
            self._begin_listed_section(head[1])
        elif head := re.fullmatch(r"\[(.+)\]", line):
            self._add_new_sections()
            self.section, self.removed = head[1], False
        elif pair := re.match(r"(\w+) = ", line):
            changed = self._changed(pair[1], line)
            if changed is None:
                return
            line = changed
        if not self.removed:
            self.lines.append(line)

    def text(self) -> str:
        """Return the variant. Raise UnusedChange if the place of a change was not found."""
        if self.pending:
            raise UnusedChange(", ".join(self.pending))
        return "\n".join(self.lines) + "\n"

    def _begin_listed_section(self, name: str) -> None:
        self._add_new_sections()
        index = self.counts.get(name, 0)
        self.counts[name] = index + 1
        self.section = f"{name}[{index}]"
        self.removed = self.pending.pop(self.section, "") is None

    def _add_new_sections(self) -> None:
        """Append the new sections of the list of sections that ends here."""
        for place, keys in list(self.pending.items()):
            match = re.fullmatch(r"(\w+)\[(\d+)\]", place)
            if not match or not isinstance(keys, dict):
                continue
            name, index = match[1], int(match[2])
            if self.counts.get(name, 0) == index and self.section.startswith(name + "["):
                self.lines.append(f"\n[[{name}]]")
                self.lines.extend(f"{key} = {value}" for key, value in keys.items())
                self.counts[name] = index + 1
                del self.pending[place]

    def _changed(self, key: str, line: str) -> str | None:
        """Return the line for a key, or None if it is removed."""
        place = f"{self.section}.{key}" if self.section else key
        if place not in self.pending:
            return line
        value = self.pending.pop(place)
        return None if value is None else f"{key} = {value}"


def make_variant(site: str, changes: Changes) -> str:
    """Return the text of a site file with changes. Raise UnusedChange if the place of a change is not found."""
    variant = Variant(changes)
    for line in site.splitlines():
        variant.add(line)
    return variant.text()


def write_variants(site: pathlib.Path, folder: pathlib.Path) -> None:
    """Write all variants of a site, and copies of its companion files, to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    text = site.read_text()
    for name, changes in VARIANTS.items():
        (folder / f"{name}.toml").write_text(make_variant(text, changes))
    for name in COMPANIONS:
        shutil.copyfile(site.parent / name, folder / name)
        (folder / name).chmod(FILE_MODE)


def main(arguments: list[str]) -> int:
    """Run the program and return its exit code."""
    if not 1 <= len(arguments) <= 2:
        print(__doc__, file=sys.stderr)
        return 2
    default = pathlib.Path(__file__).parent / "laid"
    folder = pathlib.Path(arguments[1]) if len(arguments) == 2 else default
    try:
        write_variants(pathlib.Path(arguments[0]), folder)
    except (OSError, UnusedChange) as error:
        print(f"lay.py: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
