"""The commands of `python -m minthitch COMMAND`; without a command the platform's plain start runs."""
