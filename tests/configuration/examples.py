"""Example configuration, documents and intents for tests of the configuration package."""

import json

from wingquay.configuration.document import (
    EMPTY_DOCUMENT,
    ConfigurationDocument,
    next_document,
    parse_document,
)
from wingquay.model.audit import AuditRecord
from wingquay.model.configuration import Configuration
from wingquay.model.failure import Failure
from wingquay.model.identifiers import ClassName, OperatorName, Revision
from wingquay.model.intent import AssignClass, SetClass

OPERATOR = OperatorName("ana")
OTHER_OPERATOR = OperatorName("bogdan")

CONFIGURATION = Configuration.model_validate(
    {
        "deployments": [{"name": "ro-nord", "zones": ["cluj-a", "cluj-b"]}],
        "classes": [
            {"name": "gold", "price": 10, "promise_seconds": 0.2},
            {"name": "silver", "price": 5, "promise_seconds": 0.5},
            {"name": "bronze", "price": 1, "promise_seconds": 2},
        ],
        "services": [
            {
                "name": "coverage-lookup",
                "deployment": "ro-nord",
                "kinds": [
                    {"name": "tower-sweep", "class_name": "silver"},
                    {"name": "outage-ping", "class_name": "bronze"},
                ],
                "shards": [
                    {
                        "shard_id": "c1",
                        "end": "m",
                        "replicas": [
                            {"replica_id": "c1a", "zone": "cluj-a", "host": "10.0.0.1", "port": 1},
                            {"replica_id": "c1b", "zone": "cluj-b", "host": "10.0.0.2", "port": 1},
                        ],
                    },
                    {
                        "shard_id": "c2",
                        "start": "m",
                        "replicas": [
                            {"replica_id": "c2a", "zone": "cluj-a", "host": "10.0.0.3", "port": 1}
                        ],
                    },
                ],
            }
        ],
        "callers": [
            {"name": "portal", "token_sha256": "0" * 64, "services": ["coverage-lookup"]},
            {"name": "field", "token_sha256": "1" * 64, "services": ["coverage-lookup"]},
        ],
    }
)


def document(
    configuration: Configuration = CONFIGURATION,
    revision: int = 1,
    confirm_id: str = "first",
    base: ConfigurationDocument = EMPTY_DOCUMENT,
) -> ConfigurationDocument:
    """Return the document that a confirm of ``configuration`` writes."""
    record = AuditRecord(
        revision=Revision(revision),
        confirm_id=confirm_id,
        base_revision=base.revision,
        proposed_by=OPERATOR,
        confirmed_by=OPERATOR,
        confirmed_unix_seconds=0.0,
    )
    made = next_document(base, configuration, record)
    assert not isinstance(made, Failure)
    return made


def with_extra_keys(plain: ConfigurationDocument) -> ConfigurationDocument:
    """Return the document with additional keys, as a newer version may write it."""
    raw = plain.raw()
    raw["schema_version"] = 2
    raw["quotas"] = [{"name": "q1"}]
    raw["services"][0]["cache"] = "on"
    raw["services"][0]["shards"][0]["replicas"][1]["weight"] = 3
    parsed = parse_document(json.dumps(raw).encode())
    assert not isinstance(parsed, Failure)
    return parsed


def assign(kind: str = "outage-ping", class_name: str = "top") -> AssignClass:
    """Return an intent that assigns a request kind to a class."""
    return AssignClass.model_validate(
        {
            "service": "coverage-lookup",
            "kind": kind,
            "class_name": class_name,
            "deployment": "ro-nord",
        }
    )


def price(name: str, amount: float) -> SetClass:
    """Return an intent that sets the price of a class and keeps its promise."""
    entry = CONFIGURATION.priority_class(ClassName(name))
    promise = entry.promise_seconds if entry is not None else 1.0
    return SetClass(name=name, price=amount, promise_seconds=promise)
