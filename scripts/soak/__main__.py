"""Soaks the deployed node as real processes on loopback.

Usage::

    python -m scripts.soak [--seeds 1,2,5-9] [--seconds 25] [--profile grown] [--nodes 8]
                           [--faults a,b] [--tenants] [--report DIRECTORY] [--list-faults]

Exit code 1 if any rule was broken.
"""

import asyncio
import sys
from pathlib import Path

import fire

from .profiles import PROFILES, draw_profile
from .report import RunReport, to_json, to_text
from .run import judge, record
from .settings import SoakSettings
from .strike import FAULTS

MAX_NODES = 200
OK, BROKEN, USAGE = 0, 1, 2


def soak(
    seeds: str = "1",
    seconds: float = 25.0,
    profile: str = "",
    nodes: int = 0,
    faults: str = "",
    tenants: bool | None = None,
    report: str = "out/soak",
    list_faults: bool = False,
) -> int:
    """Soak the deployed node as real processes on loopback.

    Parameters
    ----------
    seeds
        Seeds and ranges of seeds with commas between them; each is one run.
    seconds
        How long faults are begun.
    profile
        Kind of deployment: ``small``, ``grown`` or ``large``; empty: drawn by the seed.
    nodes
        Node processes, up to 200; 0: drawn by the seed from the profile.
    faults
        Names with commas between them; empty: all are drawn.
    tenants
        Whether callers need keys; not given: in every other run.
    report
        Directory for the report, the charts, and the logs of runs that broke a rule.
    list_faults
        Show the faults instead.
    """
    if list_faults:
        for name, fault in FAULTS.items():
            print(f"{name:<36}{(fault.__doc__ or '').strip()}")
        return OK
    chosen = tuple(name.strip() for name in _text(faults).split(",") if name.strip())
    numbers = _seeds(_text(seeds))
    complaint = _complaint(chosen, numbers, seconds, nodes, profile)
    if complaint:
        print(complaint, file=sys.stderr)
        return USAGE
    directory = Path(report)
    reports: list[RunReport] = []
    for seed in numbers:
        has_tenants = seed % 2 == 0 if tenants is None else tenants
        name = profile or draw_profile(seed)
        plain = SoakSettings(seed=seed, seconds=seconds, faults=chosen, has_tenants=has_tenants)
        settings = PROFILES[name].draw(plain, name, nodes or None)
        reports.append(_play(settings, directory / f"seed-{seed}"))
        print(reports[-1].line(), flush=True)
        (directory / "report.json").write_bytes(to_json(reports))
        (directory / "report.txt").write_text(to_text(reports), encoding="utf-8")
    print(to_text(reports).split("\n", len(reports))[-1], end="")
    return OK if all(item.is_kept for item in reports) else BROKEN


def _play(settings: SoakSettings, directory: Path) -> RunReport:
    directory.mkdir(parents=True, exist_ok=True)
    for path in directory.iterdir():
        path.unlink()
    chart = directory / "chart.png"
    recording = asyncio.run(record(settings, directory, progress=_print))
    played = judge(recording, directory, chart)
    if played.is_kept:
        for path in directory.glob("*.log"):
            path.unlink()
    return played


def _print(line: str) -> None:
    print(line, flush=True)


def _seeds(text: str) -> list[int]:
    """Return the seeds that a text names; -1 stands for what names none."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.strip().partition("-")
        if not first.isdigit() or not (last or first).isdigit():
            return [-1]
        found += range(int(first), int(last or first) + 1)
    return found


def _text(given: object) -> str:
    """Return what was given as one text; the command line makes tuples and numbers of some."""
    if isinstance(given, tuple):
        return ",".join(str(part) for part in given)
    return str(given)


def _complaint(
    faults: tuple[str, ...], seeds: list[int], seconds: float, nodes: int, profile: str
) -> str:
    unknown = [name for name in faults if name not in FAULTS]
    if unknown:
        return f"faults: {unknown[0]!r}; allowed: {', '.join(FAULTS)}"
    if not seeds or min(seeds) < 0:
        return "seeds: allowed: whole numbers from 0 on and ranges as 5-9, with commas between them"
    if not 0 < seconds <= 3600:
        return f"seconds: {seconds}; allowed: more than 0, up to 3600"
    if nodes and not 2 <= nodes <= MAX_NODES:
        return f"nodes: {nodes}; allowed: 0 (drawn), or 2 to {MAX_NODES}"
    if profile and profile not in PROFILES:
        return f"profile: {profile!r}; allowed: {', '.join(PROFILES)}"
    return ""


def main() -> None:
    """Run from the command line."""
    sys.exit(fire.Fire(soak, serialize=lambda _code: None))


if __name__ == "__main__":
    main()
