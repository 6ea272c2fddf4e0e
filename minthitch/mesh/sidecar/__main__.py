"""`python3 -m minthitch.mesh.sidecar`: the data plane beside one server, configured by its settings file."""

from __future__ import annotations

import sys

from minthitch.mesh.sidecar.program import main

if __name__ == "__main__":
    sys.exit(main())
