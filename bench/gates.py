"""Runs the regression sites on the users' bench one by one and prints one table.

`python -m bench.gates --bench PROGRAM --pages FOLDER --logs FOLDER` runs the standard
days of each site in `sites.json`, whose files are below the folder of the users' pages,
and keeps the output of the bench for each. A site without a result is in the table too.
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
# A day of a site with at least this many daemons takes gigabytes and minutes, so fewer
# days run concurrently.
LARGE_SITE_DAEMONS = 60
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
# Slot of the days without trouble, and name prefix of the day that is drawn for each
# run: it counts for the gate, but not for the mean, which is compared between runs.
QUIET_SLOT, DRAWN_PREFIX = "quiet", "fresh-"


class SitesError(Exception):
    """The list of sites is invalid, or lacks a requested site."""


class Site(BaseModel):
    """A deployment: its site file below the users' pages and its number of daemons."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: Annotated[str, Field(min_length=1)]
    file: Annotated[str, Field(pattern=r"^[^/].*\.toml$")]
    daemons: Annotated[int, Field(gt=0)]

    @property
    def jobs(self):
        """Number of days that run concurrently."""
        return LARGE_JOBS if self.daemons >= LARGE_SITE_DAEMONS else JOBS


class SiteList(BaseModel):
    """All sites whose gates a change has to pass."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    sites: Annotated[list[Site], Field(min_length=1)]


@dataclass(frozen=True, slots=True, kw_only=True)
class SiteResult:
    """The result of a site: its journal entry, or the reason why there is none."""

    site: Site
    entry: dict | None = None
    failure: str = ""


def load_sites(path=SITES, selected=()):
    """Return all sites of a list or the selected ones; raises SitesError."""
    try:
        listed = SiteList.model_validate_json(path.read_text()).sites
    except (OSError, ValidationError) as exc:
        raise SitesError(f"{path.name}: {exc}") from exc
    by_name = {site.name: site for site in listed}
    if len(by_name) < len(listed):
        raise SitesError(f"{path.name}: a site is listed twice")
    unknown = sorted(set(selected) - set(by_name))
    if unknown:
        raise SitesError(f"no such site: {', '.join(unknown)}")
    return [by_name[name] for name in selected] if selected else listed


def newest_entry(site, older):
    """Return a site's newest score entry that is not in the files `older`, or None."""
    for path in sorted(set(JOURNAL.glob("*.json")) - older, reverse=True):
        entry = json.loads(path.read_text())
        if entry["cmd"] == "score" and entry["site"] == site.name:
            return entry
    return None


def run_site(site, options):
    """Run the standard days of a site and return its SiteResult."""
    older = set(JOURNAL.glob("*.json"))
    log = options.logs / f"{site.name}.log"
    command = [str(options.bench), "score", str(options.pages / site.file)]
    command += ["--jobs", str(site.jobs), "--why", options.why]
    with log.open("w") as out:
        code = subprocess.run(command, stdout=out, stderr=subprocess.STDOUT).returncode
    entry = newest_entry(site, older)
    if entry is None or not entry["ok"]:
        return SiteResult(site=site, failure=f"not played to its end, exit code {code}")
    return SiteResult(site=site, entry=entry)


def row(result):
    """Return the cells of a site's row."""
    if result.entry is None:
        return [result.site.name, result.failure, *["-"] * (len(COLUMNS) - 2)]
    standard = [
        day for day in result.entry["days"] if not day["name"].startswith(DRAWN_PREFIX)
    ]
    with_trouble = [day["G"] for day in standard if day["slot"] != QUIET_SLOT]
    lowest = min(result.entry["days"], key=lambda day: day["G"])
    broken = sorted({rule for day in result.entry["days"] for rule in day["rules"]})
    return [
        result.site.name,
        "passed" if result.entry["figures"].get("gate") == 1.0 else "FAILED",
        f"{result.entry['score']:.3f}",
        f"{sum(with_trouble) / len(with_trouble):.3f}" if with_trouble else "-",
        f"{lowest['name']} {lowest['G']:.3f}",
        ", ".join(broken) or "none",
        str(result.entry["days_left_out"]),
        result.entry["head"][:8] + (" changed" if result.entry["dirty"] else ""),
    ]


def table(results):
    """Yield the lines of the table of all sites."""
    yield f"| {' | '.join(COLUMNS)} |"
    yield "|---" * len(COLUMNS) + "|"
    for result in results:
        yield f"| {' | '.join(row(result))} |"


def all_passed(results):
    """Return whether every site passed."""
    return all(row(result)[1] == "passed" for result in results)


@cappa.command(name="gates", help="Run the regression sites and print their gates.")
@dataclass
class Gates:
    """Command-line options."""

    bench: Annotated[Path, cappa.Arg(long=True, help="The users' bench program.")]
    pages: Annotated[Path, cappa.Arg(long=True, help="The folder of the users' pages.")]
    logs: Annotated[Path, cappa.Arg(long=True, help="Folder for its output.")]
    why: Annotated[str, cappa.Arg(long=True, help="Reason for the journal.")] = "gates"
    sites: Annotated[
        list[str],
        cappa.Arg(short="-s", long="--site", help="Run only this site; repeatable."),
    ] = field(default_factory=list)


def main(options):
    """Run the sites; return 0 if all passed, 1 if not, 2 if the list is invalid."""
    try:
        sites = load_sites(selected=options.sites)
    except SitesError as exc:
        print(f"gates: {exc}", file=sys.stderr)
        return 2
    options.logs.mkdir(parents=True, exist_ok=True)
    results = []
    for site in sites:
        print(f"{site.name}: {site.jobs} days at once", flush=True)
        results.append(run_site(site, options))
    print("\n".join(table(results)))
    return 0 if all_passed(results) else 1


if __name__ == "__main__":
    sys.exit(main(cappa.parse(Gates)))
