"""``wingquay settings``: check, show or document settings files."""

import sys
from pathlib import Path

from ..adapters.settings_check import SettingsErrors, read_settings
from ..adapters.settings_document import settings_document, settings_example
from .exit_codes import OK, USAGE


class command:  # noqa: N801 - looked up by this name
    """Check, show or document settings files."""

    def check(self, file: str) -> int:
        """Check a settings file and print everything that is wrong with it, one line each.

        Parameters
        ----------
        file
            The settings file (TOML).
        """
        try:
            text = Path(file).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            print(f"{file}: cannot be read: {error}", file=sys.stderr)
            return USAGE
        settings = read_settings(text)
        if isinstance(settings, SettingsErrors):
            for line in settings.lines:
                print(f"{file}: {line}", file=sys.stderr)
            return USAGE
        print(f"{file}: no errors")
        return OK

    def example(self) -> int:
        """Print a settings file to begin from."""
        print(settings_example(), end="")
        return OK

    def document(self) -> int:
        """Print the reference of all settings (docs/SETTINGS.md)."""
        print(settings_document(), end="")
        return OK
