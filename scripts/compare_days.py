#!/usr/bin/env python3
"""Plays variants of the node on the same days and seeds, and prints paired differences.

    scripts/compare_days.py --player PROGRAM --work DIR --sites A.toml,B.toml --days quiet-1,scale-2 \
        --seeds 11,12,13 base no-cut:cut_line=false previous@1a2b3c4

A variant is a name, optionally followed by '@' and a revision (default: HEAD), and by ':' and
switches of the node's policy. All variants are compared with the first one, the base. Each revision
is built once, in a separate clone in DIR; its journal entries stay there and have to be copied.
Results are appended to DIR/results.jsonl as they arrive, so that an interrupted run can be resumed.
"""

import argparse
import concurrent.futures
import json
import pathlib
import re
import statistics
import subprocess
import sys
from dataclasses import dataclass

SETTINGS = pathlib.Path("deploy/node.yaml")
PLAY_SECONDS = 1800


@dataclass(frozen=True)
class Variant:
    name: str
    revision: str
    switches: tuple[tuple[str, str], ...]

    @staticmethod
    def parse(text: str) -> "Variant":
        match = re.fullmatch(r"([\w.-]+)(?:@([\w.-]+))?(?::(.+))?", text)
        if match is None:
            raise argparse.ArgumentTypeError(f"{text!r} is not NAME[@REVISION][:SWITCH=VALUE,...]")
        name, revision, switches = match.groups()
        pairs = []
        for pair in filter(None, (switches or "").split(",")):
            switch, equals, value = pair.partition("=")
            if not equals:
                raise argparse.ArgumentTypeError(f"{text!r}: {pair!r} is not SWITCH=VALUE")
            pairs.append((switch, value))
        return Variant(name, revision or "HEAD", tuple(pairs))


@dataclass(frozen=True)
class Play:
    site: pathlib.Path
    day: str
    seed: int

    def key(self, variant: Variant) -> tuple[str, str, str, int]:
        return (variant.name, self.site.stem, self.day, self.seed)


def run(command: list[str], directory: pathlib.Path) -> str:
    done = subprocess.run(
        command, cwd=directory, capture_output=True, text=True, timeout=PLAY_SECONDS, check=False
    )
    if done.returncode not in (0, 1):
        raise RuntimeError(f"{' '.join(command)} ended with {done.returncode}:\n{done.stdout[-2000:]}{done.stderr[-2000:]}")
    return done.stdout


def checkout(work: pathlib.Path, revision: str, player: str) -> pathlib.Path:
    """Clones this repository at a revision, builds it and returns the path of the clone."""
    here = pathlib.Path(__file__).resolve().parent.parent
    commit = run(["git", "rev-parse", revision], here).strip()
    clone = work / commit[:12]
    if not clone.exists():
        run(["git", "clone", "--quiet", str(here), str(clone)], here)
        run(["git", "checkout", "--quiet", commit], clone)
    run([player, "build"], clone)
    return clone


def with_switches(settings: str, switches: tuple[tuple[str, str], ...]) -> str:
    """Returns the settings with these policy switches set; other lines stay unchanged."""
    for switch, value in switches:
        line = f"  {switch}: {value}\n"
        pattern = re.compile(rf"^  {re.escape(switch)}: .*\n?", re.MULTILINE)
        if pattern.search(settings):
            settings = pattern.sub(line, settings)
        else:
            settings = settings.replace("policy:\n", "policy:\n" + line)
    return settings


def play(player: str, clone: pathlib.Path, variant: Variant, one: Play) -> dict:
    report = clone / "target" / f"{variant.name}-{one.site.stem}-{one.day}-{one.seed}.json"
    command = [player, "run", str(one.site), one.day, "--seed", str(one.seed), "--no-cpu"]
    command += ["--report", str(report), "--why", f"Comparison: {variant.name}"]
    printed = run(command, clone)
    measured = json.loads(report.read_text())
    prices = {name: cost for name, _, cost in measured["prices"] if cost}
    result = {"worth": measured["G"], "served": measured["served"], "refused": measured["refused"]}
    result |= {"failed": measured["failed"], "fault": measured["fault"], "prices": prices}
    result["broken"] = sorted(set(re.findall(r"^\s*([A-Z]{4,}):? \d+", printed, re.MULTILINE)))
    return result


def row(name: str, differences: list[float]) -> str:
    mean = statistics.fmean(differences)
    spread = statistics.stdev(differences) if len(differences) > 1 else 0.0
    worst, best = min(differences), max(differences)
    return f"{name:<28} {len(differences):>4} {mean:>+8.4f} {spread:>8.4f} {worst:>+8.4f} {best:>+8.4f}"


def table(results: dict, variants: list[Variant], sites: list[pathlib.Path]) -> str:
    lines = []
    base = variants[0].name
    for site in sites:
        keys = [key for key in results if key[0] == base and key[1] == site.stem]
        worths = [results[key]["worth"] for key in keys]
        if not worths:
            continue
        lines.append(f"{site.stem}: worth of {base} {statistics.fmean(worths):.4f} over {len(worths)}")
        lines.append(f"{'against it':<28} {'n':>4} {'mean':>8} {'spread':>8} {'worst':>8} {'best':>8}")
        for variant in variants[1:]:
            pairs = [(key, (variant.name, *key[1:])) for key in keys]
            paired = [results[b]["worth"] - results[a]["worth"] for a, b in pairs if b in results]
            if paired:
                lines.append(row(variant.name, paired))
    return "\n".join(lines)


def load(path: pathlib.Path) -> dict:
    results = {}
    if path.exists():
        for line in path.read_text().splitlines():
            entry = json.loads(line)
            results[tuple(entry["key"])] = entry["result"]
    return results


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--player", required=True, help="the program that plays days")
    parser.add_argument("--work", type=pathlib.Path, required=True, help="directory for clones and results")
    parser.add_argument("--sites", required=True)
    parser.add_argument("--days", required=True)
    parser.add_argument("--seeds", required=True)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("variants", nargs="+", type=Variant.parse)
    options = parser.parse_args()
    sites = [pathlib.Path(site).resolve() for site in options.sites.split(",")]
    seeds = [int(seed) for seed in options.seeds.split(",")]
    plays = [Play(s, d, n) for s in sites for d in options.days.split(",") for n in seeds]
    options.work.mkdir(parents=True, exist_ok=True)
    path = options.work / "results.jsonl"
    results = load(path)
    for variant in options.variants:
        clone = checkout(options.work, variant.revision, options.player)
        # The settings are read when a day begins, so variants of one clone are played one by one.
        run(["git", "checkout", "--quiet", "--", str(SETTINGS)], clone)
        settings = clone / SETTINGS
        settings.write_text(with_switches(settings.read_text(), variant.switches))
        due = [one for one in plays if one.key(variant) not in results]
        with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
            tasks = {pool.submit(play, options.player, clone, variant, one): one for one in due}
            for task in concurrent.futures.as_completed(tasks):
                key = tasks[task].key(variant)
                try:
                    results[key] = task.result()
                except (RuntimeError, OSError, ValueError, subprocess.TimeoutExpired) as error:
                    print(f"failed: {key}: {error}", file=sys.stderr)
                    continue
                with path.open("a") as file:
                    file.write(json.dumps({"key": key, "result": results[key]}) + "\n")
        print(table(results, options.variants, sites), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
