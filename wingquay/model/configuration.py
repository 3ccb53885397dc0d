"""The operators' configuration. A confirmed revision is never replaced by a lower one.

The models are immutable and validated by pydantic. They are serialized as JSON in the platform's
key-value store and between nodes.
"""

from pydantic import model_validator

from .configuration_check import reference_errors
from .configuration_parts import (
    Attachment,
    Caller,
    CheckedModel,
    CoveragePreference,
    Deployment,
    PriorityClass,
    Replica,
    RequestKind,
    Service,
    Shard,
)
from .identifiers import (
    ClassName,
    Revision,
)

__all__ = [
    "Attachment",
    "Caller",
    "Configuration",
    "CoveragePreference",
    "Deployment",
    "PriorityClass",
    "Replica",
    "RequestKind",
    "Service",
    "Shard",
    "SCHEMA_VERSION",
]

SCHEMA_VERSION = 1


class Configuration(CheckedModel):
    """One confirmed revision of all settings that operators control."""

    schema_version: int = SCHEMA_VERSION
    revision: Revision = Revision(0)
    confirm_id: str = ""
    deployments: tuple[Deployment, ...] = ()
    classes: tuple[PriorityClass, ...] = ()
    services: tuple[Service, ...] = ()
    callers: tuple[Caller, ...] = ()
    attachments: tuple[Attachment, ...] = ()

    def service(self, name: str) -> Service | None:
        """Return the service called ``name``, or ``None``."""
        return next((service for service in self.services if service.name == name), None)

    def priority_class(self, name: str) -> PriorityClass | None:
        """Return the priority class called ``name``, or ``None``."""
        return next((entry for entry in self.classes if entry.name == name), None)

    def caller(self, name: str) -> Caller | None:
        """Return the caller called ``name``, or ``None``."""
        return next((caller for caller in self.callers if caller.name == name), None)

    def class_for(self, service: Service, kind: RequestKind, caller: str) -> ClassName:
        """Return the class of a request.

        An attachment for the caller takes precedence over one for all callers, and both take
        precedence over the class of the request kind.
        """
        chosen = kind.class_name
        for attachment in self.attachments:
            if (attachment.service, attachment.kind) != (service.name, kind.name):
                continue
            if attachment.caller == caller:
                return attachment.class_name
            if attachment.caller is None:
                chosen = attachment.class_name
        return chosen

    @model_validator(mode="after")
    def _check_references(self) -> "Configuration":
        errors = reference_errors(self)
        if errors:
            raise ValueError("; ".join(errors))
        return self
