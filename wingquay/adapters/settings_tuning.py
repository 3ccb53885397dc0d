"""Sections that tune the decision code, derived from its own settings classes.

Names, defaults and descriptions are read from those classes, so that they stand in one place;
only the ranges are added here.
"""

import dataclasses
import inspect
import re
from typing import Any, TypeVar

from annotated_types import Ge, Le
from pydantic import Field, create_model

from ..admission.settings import AdmissionSettings
from ..claims.settings import ClaimsSettings
from ..membership.replica_evidence import ReplicaEvidenceSettings
from ..membership.settings import MembershipSettings
from ..orchestration.settings import NodeMachineSettings, StopSettings
from ..query.settings import QuerySettings
from ..routing.settings import RoutingSettings
from .settings import Section, Settings

Tuning = TypeVar("Tuning")

TUNING_SECTIONS: dict[str, type[Any]] = {
    "query": QuerySettings,
    "admission": AdmissionSettings,
    "routing": RoutingSettings,
    "membership": MembershipSettings,
    "replica_evidence": ReplicaEvidenceSettings,
    "claims": ClaimsSettings,
    "stop": StopSettings,
}
"""Settings classes of the decision code by the section that tunes them; the sections are fields
of ``NodeMachineSettings``."""

_RANGES: dict[str, tuple[float, float]] = {
    "query.answer_margin_seconds": (0, 1),
    "query.most_replans": (0, 10),
    "query.most_piece_retries": (0, 10),
    "query.stop_linger_seconds": (0, 60),
    "admission.hedge_quantile": (0.5, 0.9999),
    "admission.hedge_budget_burst": (1, 1000),
    "admission.hedge_initial_factor": (1, 100),
    "admission.hedge_least_factor": (1, 100),
    "admission.most_hedges": (0, 5),
    "admission.retry_budget_burst": (1, 1000),
    "admission.most_retries": (0, 10),
    "routing.owners_per_shard": (0, 16),
    "routing.in_flight_per_slot": (1, 4),
    "routing.ejection_failures": (1, 100),
    "routing.ejection_lost_races": (1, 100),
    "routing.latency_weight": (0, 1),
    "stop.least_seconds": (0, 600),
    "stop.most_seconds": (0.1, 600),
}

_RANGES_BY_SUFFIX: dict[str, tuple[float, float]] = {
    "_seconds": (0.001, 86_400),
    "_seconds_per_node": (0, 3_600),
    "_ratio": (0, 1),
    "_share": (0, 1),
    "_bytes": (1, 1_073_741_824),
}

_RANGE_OF_COUNTS = (0, 1_000_000)
_DEFAULT_SENTENCE = re.compile(r" ?Defaults? [0-9][0-9., and]*\.(?= |$)")
_NAMES_LINE = re.compile(r"^[a-z_]+(, [a-z_]+)*$")


def _range_of(path: str) -> tuple[float, float]:
    if path in _RANGES:
        return _RANGES[path]
    for suffix, bounds in _RANGES_BY_SUFFIX.items():
        if path.endswith(suffix):
            return bounds
    return _RANGE_OF_COUNTS


def parameter_descriptions(documented: type[Any]) -> dict[str, str]:
    """Return the ``Parameters`` of a NumPy-style doc comment as one line each."""
    document = inspect.cleandoc(documented.__doc__ or "")
    _, _, parameters = document.partition("Parameters\n----------\n")
    descriptions: dict[str, str] = {}
    names: list[str] = []
    for line in parameters.splitlines():
        if not line.strip():
            break
        if _NAMES_LINE.match(line):
            names = line.split(", ")
            continue
        for name in names:
            descriptions[name] = f"{descriptions.get(name, '')} {line.strip()}".strip()
    return {
        name: _DEFAULT_SENTENCE.sub("", text).replace("``", "`")
        for name, text in descriptions.items()
    }


def _field(section: str, entry: "dataclasses.Field[Any]", description: str) -> Any:
    least, most = _range_of(f"{section}.{entry.name}")
    kind = int if isinstance(entry.default, int) else float
    bounds = (Ge(kind(least)), Le(kind(most)))
    field: Any = Field(default=entry.default, description=description)
    field.metadata.extend(bounds)
    return kind, field


def _section_model(section: str, tuned: type[Any]) -> type[Section]:
    descriptions = parameter_descriptions(tuned)
    fields: dict[str, Any] = {
        entry.name: _field(section, entry, descriptions[entry.name])
        for entry in dataclasses.fields(tuned)
        if isinstance(entry.default, int | float)
    }
    model: type[Section] = create_model(
        f"{tuned.__name__}Section",
        __base__=Section,
        __doc__=inspect.cleandoc(tuned.__doc__ or "").partition("\n")[0],
        **fields,
    )
    return model


def _complete_model() -> type[Settings]:
    sections: dict[str, Any] = {}
    for name, tuned in TUNING_SECTIONS.items():
        model = _section_model(name, tuned)
        sections[name] = (model, model())
    complete: type[Settings] = create_model(
        "CompleteSettings", __base__=Settings, __doc__=Settings.__doc__, **sections
    )
    return complete


COMPLETE_SETTINGS = _complete_model()
"""``Settings`` with the tuning sections; ``tuning_of`` reads them."""


def tuning_of(settings: Settings, section: str, kind: type[Tuning]) -> Tuning:
    """Return one tuning section of complete settings as the decision code's own class."""
    values: Section = getattr(settings, section)
    return kind(**values.model_dump())


def node_machine_settings(settings: Settings) -> NodeMachineSettings:
    """Return the settings of the decision code."""
    sections: dict[str, Any] = {
        section: tuning_of(settings, section, kind) for section, kind in TUNING_SECTIONS.items()
    }
    return NodeMachineSettings(**sections)
