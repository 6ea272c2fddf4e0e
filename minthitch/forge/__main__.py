"""`python3 -m minthitch.forge`: one voice of the control plane, as its settings file tells."""

from __future__ import annotations

import sys

from minthitch.forge.program import main

if __name__ == "__main__":
    sys.exit(main())
