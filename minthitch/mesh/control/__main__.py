"""`python3 -m minthitch.mesh.control`: one control node, configured by its settings file."""

from __future__ import annotations

import sys

from minthitch.mesh.control.program import main

if __name__ == "__main__":
    sys.exit(main())
