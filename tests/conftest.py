"""Settings shared by every test: the Hypothesis profiles and the known-red selection."""

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

from tests.hidden_files import hidden_files
from tests.known_red import KnownRedError, read_known_red, split_node_ids

PROFILE_VARIABLE = "HYPOTHESIS_PROFILE"

# "ci" draws the same examples in every run; "fuzz" draws new and more ones.
settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile("fuzz", deadline=None, max_examples=2000, print_blob=True)
settings.load_profile(os.environ.get(PROFILE_VARIABLE, "ci"))


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--known-red",
        choices=("include", "exclude", "only"),
        default="include",
        help="run the tests of KNOWN-RED.txt with the others, leave them out, or run only them",
    )


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    hidden = hidden_files((item.path, _module_file(item)) for item in items)
    if hidden:
        raise pytest.UsageError(f"hidden by files of the same name: {', '.join(hidden)}")
    choice = config.getoption("--known-red")
    if choice == "include":
        return
    try:
        entries = read_known_red(config.rootpath)
        green, red = split_node_ids([item.nodeid for item in items], entries)
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from error
    selected = set(green if choice == "exclude" else red)
    left_out = [item for item in items if item.nodeid not in selected]
    items[:] = [item for item in items if item.nodeid in selected]
    config.hook.pytest_deselected(items=left_out)


def _module_file(item: pytest.Item) -> Path | None:
    """Return the file whose code a test runs."""
    module = getattr(item, "module", None)
    return None if module is None else Path(str(module.__file__))
