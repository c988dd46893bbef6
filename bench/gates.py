"""Plays the regression sites on the users' bench in turn, and prints one table.

`python -m bench.gates --bench PROGRAM --pages FOLDER --logs FOLDER` plays the standard
days of each site in `sites.json`, whose files lie below the folder of the users' pages,
and keeps what the bench printed of each. A site that gave no result is in the table.
"""

import json
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa
from pydantic import BaseModel, ConfigDict, Field, ValidationError

HERE = Path(__file__).resolve().parent
SITES = HERE / "sites.json"
JOURNAL = HERE.parent / "journal"
# Sites of this many daemons take gigabytes and minutes a day: two days at once.
LARGE = 60
JOBS, LARGE_JOBS = 4, 2
COLUMNS = (
    "site",
    "gate",
    "score",
    "mean worth with trouble",
    "lowest day",
    "rules broken",
    "days given up",
    "code",
)
# The days without trouble, by their slot, and the one drawn for this run, by its name:
# it counts for the gate, and not for a mean that is compared with an older one.
QUIET, DRAWN = "quiet", "fresh-"


class SitesError(Exception):
    """The list of sites is unusable, or names are asked for that it does not have."""


class Site(BaseModel):
    """A deployment: its site file below the users' pages, and its daemons."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Annotated[str, Field(min_length=1)]
    file: Annotated[str, Field(pattern=r"^[^/].*\.toml$")]
    daemons: Annotated[int, Field(gt=0)]

    @property
    def jobs(self):
        """Days that are played at once."""
        return LARGE_JOBS if self.daemons >= LARGE else JOBS


class SiteList(BaseModel):
    """All sites that a change has to hold."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    sites: Annotated[list[Site], Field(min_length=1)]


@dataclass(frozen=True, slots=True, kw_only=True)
class Played:
    """What came of a site: its entry of the journal, or why there is none."""

    site: Site
    entry: dict | None = None
    why: str = ""


def load_sites(path=SITES, wanted=()):
    """The sites of a list, or those of them that are wanted; raises SitesError."""
    try:
        listed = SiteList.model_validate_json(path.read_text()).sites
    except (OSError, ValidationError) as exc:
        raise SitesError(f"{path.name}: {exc}") from exc
    known = {site.name: site for site in listed}
    if len(known) < len(listed):
        raise SitesError(f"{path.name}: a site is listed twice")
    unknown = sorted(set(wanted) - set(known))
    if unknown:
        raise SitesError(f"no such site: {', '.join(unknown)}")
    return [known[name] for name in wanted] if wanted else listed


def newest_entry(site, before):
    """The score of a site that was written since, or None; `before` are older files."""
    for path in sorted(set(JOURNAL.glob("*.json")) - before, reverse=True):
        entry = json.loads(path.read_text())
        if entry["cmd"] == "score" and entry["site"] == site.name:
            return entry
    return None


def play(site, options):
    """Play the standard days of a site; what came of it."""
    before = set(JOURNAL.glob("*.json"))
    log = options.logs / f"{site.name}.log"
    command = [str(options.bench), "score", str(options.pages / site.file)]
    command += ["--jobs", str(site.jobs), "--why", options.why]
    with log.open("w") as out:
        code = subprocess.run(command, stdout=out, stderr=subprocess.STDOUT).returncode
    entry = newest_entry(site, before)
    if entry is None or not entry["ok"]:
        return Played(site=site, why=f"not played to its end, exit code {code}")
    return Played(site=site, entry=entry)


def row(played):
    """A site's line of the table."""
    if played.entry is None:
        return [played.site.name, played.why, *["-"] * (len(COLUMNS) - 2)]
    standard = [
        day for day in played.entry["days"] if not day["name"].startswith(DRAWN)
    ]
    troubled = [day["G"] for day in standard if day["slot"] != QUIET]
    lowest = min(played.entry["days"], key=lambda day: day["G"])
    broken = sorted({rule for day in played.entry["days"] for rule in day["rules"]})
    return [
        played.site.name,
        "passed" if played.entry["figures"].get("gate") == 1.0 else "FAILED",
        f"{played.entry['score']:.3f}",
        f"{sum(troubled) / len(troubled):.3f}" if troubled else "-",
        f"{lowest['name']} {lowest['G']:.3f}",
        ", ".join(broken) or "none",
        str(played.entry["days_left_out"]),
        played.entry["head"][:8] + (" changed" if played.entry["dirty"] else ""),
    ]


def table(all_played):
    """The table of all sites."""
    yield f"| {' | '.join(COLUMNS)} |"
    yield "|---" * len(COLUMNS) + "|"
    for played in all_played:
        yield f"| {' | '.join(row(played))} |"


def held(all_played):
    """Tell whether every site passed."""
    return all(row(played)[1] == "passed" for played in all_played)


@cappa.command(name="gates", help="Play the regression sites and print their gates.")
@dataclass
class Gates:
    """Options of the run."""

    bench: Annotated[Path, cappa.Arg(long=True, help="The users' bench program.")]
    pages: Annotated[Path, cappa.Arg(long=True, help="The folder of the users' pages.")]
    logs: Annotated[Path, cappa.Arg(long=True, help="Where to keep what it prints.")]
    why: Annotated[str, cappa.Arg(long=True, help="A line for the journal.")] = "gates"
    sites: Annotated[
        list[str], cappa.Arg(short="-s", long="--site", help="Only this one; repeat.")
    ] = field(default_factory=list)


def main(options):
    """Play the sites; the exit code."""
    try:
        sites = load_sites(wanted=options.sites)
    except SitesError as exc:
        print(f"gates: {exc}", file=sys.stderr)
        return 2
    options.logs.mkdir(parents=True, exist_ok=True)
    all_played = []
    for site in sites:
        print(f"{site.name}: {site.jobs} days at once", flush=True)
        all_played.append(play(site, options))
    print("\n".join(table(all_played)))
    return 0 if held(all_played) else 1


if __name__ == "__main__":
    sys.exit(main(cappa.parse(Gates)))
