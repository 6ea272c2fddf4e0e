"""`python -m rigs.mesh_demo`: ends by itself after some 15 s."""

from __future__ import annotations

import argparse
import asyncio
import sys
from pathlib import Path

from rigs.mesh_demo.play import DRILLS, main

if __name__ == "__main__":
    words = argparse.ArgumentParser(prog="sh demo-mesh.sh", description="A small mesh on loopback, for 15 s.")
    words.add_argument(
        "--drill",
        choices=DRILLS,
        default=DRILLS[0],
        help="which control nodes are killed: the leader, a follower, the leader with its disk, all",
    )
    words.add_argument("--logs", action="store_true", help="print the processes' logs at the end")
    words.add_argument(
        "--other",
        type=Path,
        help="another checkout of the project, run by the machines of --on: a rolling upgrade",
    )
    words.add_argument(
        "--on", default="control-1,sidecar-1,sidecar-2", help="names, with commas between them"
    )
    args = words.parse_args()
    others = {name: args.other.resolve() for name in args.on.split(",")} if args.other else {}
    sys.exit(asyncio.run(main(args.drill, args.logs, others)))
