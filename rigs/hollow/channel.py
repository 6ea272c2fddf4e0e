"""The measurer's line to a child: requests come as lines of JSON on standard input, answers go to standard
output. When the measurer ends, for whatever reason, its children end too.
"""

from __future__ import annotations

import json
import os
import sys
import threading
from collections.abc import Callable
from typing import Any

Handle = Callable[[dict[str, Any]], Any]
ORPHANED = 9  # exit code of a child whose measurer is gone


def listen(handle: Handle) -> None:
    """Calls `handle` for each request, in a thread of its own, and answers with what it returns."""
    threading.Thread(target=_serve, args=(handle,), daemon=True).start()


def _serve(handle: Handle) -> None:
    try:
        for line in sys.stdin:
            value = handle(json.loads(line))
            sys.stdout.write(json.dumps(value) + "\n")
            sys.stdout.flush()
    finally:  # the measurer's end of either pipe is closed, or a request failed
        os._exit(ORPHANED)
