"""The command line beside the platform's plain start: `serve`, `check` and `demo`."""
