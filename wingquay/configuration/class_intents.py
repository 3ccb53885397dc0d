"""Applies the intents that change priority classes and their assignment to request kinds."""

from ..model.configuration import Attachment, Configuration, PriorityClass, Service
from ..model.failure import Failure
from ..model.identifiers import ClassName
from ..model.intent import (
    RESERVED_CLASS_NAMES,
    AssignClass,
    RemoveClass,
    SetClass,
    UnassignClass,
)
from .intent_failure import (
    IntentFailure,
    entry_name,
    invalid_intent,
    replace_entry,
    unknown_name,
)


def assign_class(
    configuration: Configuration, intent: AssignClass
) -> Configuration | IntentFailure:
    """Assign a request kind to a class, replacing an earlier assignment of the kind."""
    service = _service_with_kind(configuration, intent.service, intent.kind)
    if isinstance(service, Failure):
        return service
    if service.deployment != intent.deployment:
        return invalid_intent(
            f"deployment: service {service.name!r} is not in {intent.deployment!r}; "
            f"allowed: [{service.deployment!r}]"
        )
    if configuration.priority_class(intent.class_name) is None:
        names = [entry.name for entry in configuration.classes]
        return unknown_name("class_name", intent.class_name, [*names, *RESERVED_CLASS_NAMES])
    if intent.caller is not None and configuration.caller(intent.caller) is None:
        return unknown_name(
            "caller", intent.caller, (entry_name(entry) for entry in configuration.callers)
        )
    attachment = Attachment(
        service=intent.service,
        kind=intent.kind,
        class_name=intent.class_name,
        caller=intent.caller,
    )
    attachments = replace_entry(configuration.attachments, attachment, _attachment_key)
    return configuration.model_copy(update={"attachments": attachments})


def unassign_class(
    configuration: Configuration, intent: UnassignClass
) -> Configuration | IntentFailure:
    """Remove the assignment of a request kind to a class."""
    key = (intent.service, intent.kind, intent.caller)
    remaining = tuple(entry for entry in configuration.attachments if _attachment_key(entry) != key)
    if len(remaining) == len(configuration.attachments):
        present = [f"{entry.service}/{entry.kind}" for entry in configuration.attachments]
        return unknown_name("service/kind", f"{intent.service}/{intent.kind}", present)
    return configuration.model_copy(update={"attachments": remaining})


def set_class(configuration: Configuration, intent: SetClass) -> Configuration | IntentFailure:
    """Create a class, or change its price and promise."""
    if intent.name in RESERVED_CLASS_NAMES:
        return invalid_intent(
            f"name: {intent.name!r} is reserved; allowed: any but {list(RESERVED_CLASS_NAMES)}"
        )
    entry = PriorityClass(
        name=ClassName(intent.name),
        price=intent.price,
        promise_seconds=intent.promise_seconds,
    )
    classes = replace_entry(configuration.classes, entry, entry_name)
    return configuration.model_copy(update={"classes": classes})


def remove_class(
    configuration: Configuration, intent: RemoveClass
) -> Configuration | IntentFailure:
    """Remove a class; fail while a request kind or an assignment uses it."""
    if configuration.priority_class(intent.name) is None:
        return unknown_name("name", intent.name, (entry.name for entry in configuration.classes))
    users = [
        f"{service.name}/{kind.name}"
        for service in configuration.services
        for kind in service.kinds
        if kind.class_name == intent.name
    ]
    users += [
        f"assignment of {entry.service}/{entry.kind}"
        for entry in configuration.attachments
        if entry.class_name == intent.name
    ]
    if users:
        return invalid_intent(
            f"name: class {intent.name!r} is still used by {users}; reassign these first"
        )
    remaining = tuple(entry for entry in configuration.classes if entry.name != intent.name)
    return configuration.model_copy(update={"classes": remaining})


def _service_with_kind(
    configuration: Configuration, service_name: str, kind_name: str
) -> Service | IntentFailure:
    service = configuration.service(service_name)
    if service is None:
        names = (entry.name for entry in configuration.services)
        return unknown_name("service", service_name, names)
    if service.kind(kind_name) is None:
        return unknown_name("kind", kind_name, (kind.name for kind in service.kinds))
    return service


def _attachment_key(attachment: Attachment) -> tuple[str, str, str | None]:
    return attachment.service, attachment.kind, attachment.caller
