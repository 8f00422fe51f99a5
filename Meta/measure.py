"""Runs the measurements; started by Meta/measure.sh."""

import argparse
import json
import signal
import sys

import measure_calls
import measure_spread

SPREAD_SIZES = [12, 42, 120, 240]


def interrupted(*unused):
    raise KeyboardInterrupt


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("what", choices=["spread", "calls", "all"])
    parser.add_argument("--nodes", help="sizes for spread, such as 12,42")
    parser.add_argument("--case", help="only these cases, separated by commas")
    options = parser.parse_args()
    signal.signal(signal.SIGTERM, interrupted)
    sizes = [int(it) for it in options.nodes.split(",")] if options.nodes else SPREAD_SIZES
    cases = options.case.split(",") if options.case else None
    rows = []

    def emit(row):
        rows.append(row)
        print(json.dumps(row), flush=True)

    if options.what in ("spread", "all"):
        for row in measure_spread.measure(sizes, cases if options.what == "spread" else None):
            emit(row)
    if options.what in ("calls", "all"):
        for row in measure_calls.measure(cases if options.what == "calls" else None):
            emit(row)
    if options.what == "all":
        print(json.dumps({"cases": len(rows), "rows": rows}), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
