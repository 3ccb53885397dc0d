"""Exit codes of the command line."""

OK = 0
"""The command did what it was asked."""

FAILED = 1
"""It ran and found a violation, or could not do what it was asked."""

USAGE = 2
"""The command line or the settings are wrong; nothing was started."""

INTERRUPTED = 130
"""It was ended by an interrupt (128 + SIGINT)."""
