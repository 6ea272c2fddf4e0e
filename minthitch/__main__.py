"""`python -m minthitch`: a node configured by the file in BALANCER_CONFIG, or a command."""

from __future__ import annotations

import os
import sys

from minthitch.config import ConfigError, read_config
from minthitch.program import report_config_error, run


def main() -> int:
    if len(sys.argv) > 1:
        from minthitch.cli.commands import main as command  # not loaded for a node

        return command(sys.argv[1:])
    path = os.environ.get("BALANCER_CONFIG")
    try:
        if not path:
            raise ConfigError("BALANCER_CONFIG names no file")
        config = read_config(path)
    except ConfigError as err:
        return report_config_error(err)
    return run(config, lambda: read_config(path))


if __name__ == "__main__":
    sys.exit(main())
