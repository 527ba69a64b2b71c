#!/usr/bin/env python3
"""Create variants of a test deployment for the operators' bench.

usage: lay.py SITE [DIRECTORY]

SITE is a site file of the operators' kit: a TOML file that describes a deployment. A variant is a copy of the site file
in which some lines are changed. Scores on the variants show whether the program works on deployments for which it was
not tuned. The variants are written to DIRECTORY, together with copies of the other files that the bench expects next to
a site file. The default directory is deploy/sites/laid, which git ignores.
"""

import pathlib
import re
import shutil
import sys

# Changes to a site file, by location. A location is `section.key` for one key of a section, or `key` for a key before
# the first section. In a list of sections, `section[i]` is the section with index i, and `section[i].key` is one of its
# keys. The value of a change is the new text of the key, None to remove the key or section, or the keys of a new
# section that is appended to its list.
Section = dict[str, str]
Changes = dict[str, str | Section | None]

VARIANTS: dict[str, Changes] = {
    # One zone, one request class that is not idempotent, rate limits given as ratios, and no limit on the number of
    # messages.
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
    # Four zones, five request classes (the name of one is a prefix of the name of another), a low limit on the number
    # of messages, and other deadlines and costs.
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

# Files that the bench expects in the directory of a site file.
COMPANION_FILES = ("real.json", "wire.json", "unlock.txt")

# Permissions of the copied files. They are set explicitly, because the files of the kit may be read-only.
COPY_FILE_MODE = 0o644


class UnusedChange(Exception):
    """Raised if the location of a change is not found in the site file."""


class VariantBuilder:
    """Builds a variant from the lines of a site file, which are added one by one."""

    def __init__(self, changes: Changes) -> None:
        self.pending_changes = dict(changes)  # changes whose location has not been reached
        self.variant_lines: list[str] = []  # lines of the variant so far
        self.section = ""  # location of the current section; empty before the first section
        self.section_removed = False  # whether the current section is left out of the variant
        self.section_counts: dict[str, int] = {}  # number of sections so far in each list of sections, by its name

    def add_line(self, line: str) -> None:
        """Add the next line of the site file. Change the line or leave it out if a change applies to it."""
        if header := re.fullmatch(r"\[\[(.+)\]\]", line):
            self._begin_listed_section(header[1])
        elif header := re.fullmatch(r"\[(.+)\]", line):
            self._add_new_sections()
            self.section, self.section_removed = header[1], False
        elif key_match := re.match(r"(\w+) = ", line):
            changed_line = self._apply_change(key_match[1], line)
            if changed_line is None:
                return
            line = changed_line
        if not self.section_removed:
            self.variant_lines.append(line)

    def text(self) -> str:
        """Return the text of the variant. Raise UnusedChange if the location of a change was not found."""
        if self.pending_changes:
            raise UnusedChange(", ".join(self.pending_changes))
        return "\n".join(self.variant_lines) + "\n"

    def _begin_listed_section(self, name: str) -> None:
        """Begin the next section of the list of sections with this name."""
        self._add_new_sections()
        index = self.section_counts.get(name, 0)
        self.section_counts[name] = index + 1
        self.section = f"{name}[{index}]"
        self.section_removed = self.pending_changes.pop(self.section, "") is None

    def _add_new_sections(self) -> None:
        """Append the new sections of the list of sections that the current section belongs to.

        A new section is appended if its index is the number of sections that the list has so far.
        """
        for location, change in list(self.pending_changes.items()):
            location_match = re.fullmatch(r"(\w+)\[(\d+)\]", location)
            if not location_match or not isinstance(change, dict):
                continue
            name, index = location_match[1], int(location_match[2])
            if self.section_counts.get(name, 0) == index and self.section.startswith(name + "["):
                self.variant_lines.append(f"\n[[{name}]]")
                self.variant_lines.extend(f"{key} = {value}" for key, value in change.items())
                self.section_counts[name] = index + 1
                del self.pending_changes[location]

    def _apply_change(self, key: str, line: str) -> str | None:
        """Return the line of the variant for a key of the current section, or None if a change removes the key."""
        location = f"{self.section}.{key}" if self.section else key
        if location not in self.pending_changes:
            return line
        new_value = self.pending_changes.pop(location)
        return None if new_value is None else f"{key} = {new_value}"


def make_variant(site_text: str, changes: Changes) -> str:
    """Return the text of a site file with the changes applied.

    Raise UnusedChange if the location of a change is not found.
    """
    builder = VariantBuilder(changes)
    for line in site_text.splitlines():
        builder.add_line(line)
    return builder.text()


def write_variants(site_file: pathlib.Path, directory: pathlib.Path) -> None:
    """Write all variants of a site file, and copies of its companion files, to a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    site_text = site_file.read_text()
    for name, changes in VARIANTS.items():
        (directory / f"{name}.toml").write_text(make_variant(site_text, changes))
    for name in COMPANION_FILES:
        shutil.copyfile(site_file.parent / name, directory / name)
        (directory / name).chmod(COPY_FILE_MODE)


def main(arguments: list[str]) -> int:
    """Run the program with the arguments after its name, and return the exit code."""
    if not 1 <= len(arguments) <= 2:
        print(__doc__, file=sys.stderr)
        return 2
    default_directory = pathlib.Path(__file__).parent / "laid"
    directory = pathlib.Path(arguments[1]) if len(arguments) == 2 else default_directory
    try:
        write_variants(pathlib.Path(arguments[0]), directory)
    except (OSError, UnusedChange) as error:
        print(f"lay.py: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
