"""Fills in the gaps of a settings template, as the platform does at every start of a node."""

import json
import re
from collections.abc import Mapping

_SECTION = re.compile(r"{{([#^])([\w.]+)}}(.*?){{/\2}}", re.DOTALL)
_GAP = re.compile(r"{{([\w.@,]+)(\|json)?}}")

Fields = Mapping[str, object]


def fill_template(text: str, fields: Fields) -> str:
    """Return a template with its gaps filled in.

    Parameters
    ----------
    fields
        Values by name; tables may be nested. A missing value leaves nothing.
    """
    text = _SECTION.sub(lambda match: _section(match, fields), text)
    return _GAP.sub(lambda match: _gap(match, fields), text)


def _section(match: re.Match[str], fields: Fields) -> str:
    found = _look_up(fields, match[2])
    if match[1] == "^":
        return "" if found else match[3]
    if isinstance(found, Mapping):
        entries = [match[3].replace("{{@}}", str(name)) for name in found]
        joined = [entry.replace("{{,}}", ",") for entry in entries[:-1]]
        return "".join([*joined, *(entry.replace("{{,}}", "") for entry in entries[-1:])])
    return match[3] if found else ""


def _gap(match: re.Match[str], fields: Fields) -> str:
    found = _look_up(fields, match[1])
    return json.dumps(found) if match[2] else _plain(found)


def _look_up(fields: Fields, name: str) -> object:
    found: object = fields
    for part in name.split("."):
        if isinstance(found, Mapping):
            found = found.get(part)
        elif isinstance(found, list) and part.isdigit():
            found = found[int(part)]
        else:
            return None
    return found


def _plain(found: object) -> str:
    if found is None:
        return ""
    if isinstance(found, bool):
        return str(found).lower()
    if isinstance(found, list):
        return ",".join(str(item) for item in found)
    return str(found)
