"""Settings of a process, items in force, routes, calls and kinds of errors."""
