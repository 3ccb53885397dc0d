"""Applies intents to a configuration."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import TypeVar

from wingquay.model.configuration import (
    Attachment,
    Configuration,
    PriorityClass,
    Service,
)
from wingquay.model.configuration_check import reference_errors
from wingquay.model.failure import Failure
from wingquay.model.identifiers import ClassName, Revision
from wingquay.model.intent import (
    LOWEST_CLASS,
    RESERVED_CLASS_NAMES,
    TOP_CLASS,
    AssignClass,
    Intent,
    RemoveCaller,
    RemoveClass,
    RemoveService,
    RestoreRevision,
    SetCaller,
    SetClass,
    SetDeployment,
    SetService,
    SetShards,
    UnassignClass,
)


class IntentFailureKind(Enum):
    """Why intents cannot be applied."""

    INVALID = "invalid"


IntentFailure = Failure[IntentFailureKind]
History = Mapping[Revision, Configuration]
"""Earlier revisions that ``RestoreRevision`` may name."""


@dataclass(frozen=True, slots=True)
class AppliedIntents:
    """The configuration that intents lead to, and the intents as they were resolved."""

    configuration: Configuration
    resolved: tuple[Intent, ...]


def apply_intents(
    configuration: Configuration,
    intents: Sequence[Intent],
    history: History | None = None,
) -> AppliedIntents | IntentFailure:
    """Apply ``intents`` in order and check the result whole.

    Parameters
    ----------
    history
        The revisions that ``RestoreRevision`` intents name.

    Returns
    -------
    AppliedIntents or Failure
        The failure's reason names the field, the value and what is allowed.
    """
    if not intents:
        return _invalid("intents: give at least one")
    resolved: list[Intent] = []
    for number, intent in enumerate(intents, start=1):
        exact = _resolve(configuration, intent)
        if isinstance(exact, Failure):
            return _invalid(f"intent {number} ({intent.intent}): {exact.reason}")
        outcome = _apply(configuration, exact, history or {})
        if isinstance(outcome, Failure):
            return _invalid(f"intent {number} ({intent.intent}): {outcome.reason}")
        configuration = outcome
        resolved.append(exact)
    # The entries were checked one by one when they were made; what is left is how they fit.
    errors = reference_errors(configuration)
    if errors:
        return _invalid("; ".join(errors))
    return AppliedIntents(configuration, tuple(resolved))


def class_order(entry: PriorityClass) -> tuple[float, float, str]:
    """Return the key by which classes are ordered, lowest first."""
    return entry.price, -entry.promise_seconds, entry.name


def _invalid(reason: str) -> IntentFailure:
    return Failure(IntentFailureKind.INVALID, reason)


def _unknown(field: str, value: str, allowed: Iterable[str]) -> IntentFailure:
    return _invalid(f"{field}: {value!r} does not exist; allowed: {sorted(allowed)}")


def _resolve(configuration: Configuration, intent: Intent) -> Intent | IntentFailure:
    if not isinstance(intent, AssignClass) or intent.class_name not in RESERVED_CLASS_NAMES:
        return intent
    ordered = sorted(configuration.classes, key=class_order)
    if not ordered:
        return _invalid(f"class_name: {intent.class_name!r} stands for no class; none exists yet")
    chosen = {TOP_CLASS: ordered[-1], LOWEST_CLASS: ordered[0]}[intent.class_name]
    return intent.model_copy(update={"class_name": chosen.name})


def _apply(
    configuration: Configuration, intent: Intent, history: History
) -> Configuration | IntentFailure:
    match intent:
        case AssignClass():
            return _assign_class(configuration, intent)
        case UnassignClass():
            return _unassign_class(configuration, intent)
        case RestoreRevision():
            return _restore(configuration, intent, history)
        case RemoveClass() | RemoveService() | RemoveCaller():
            return _remove(configuration, intent)
        case SetShards():
            return _set_shards(configuration, intent)
        case SetClass():
            return _set_class(configuration, intent)
        case SetService() | SetCaller() | SetDeployment():
            return _set_whole(configuration, intent)


def _set_whole(
    configuration: Configuration, intent: SetService | SetCaller | SetDeployment
) -> Configuration:
    match intent:
        case SetService():
            services = _replaced(configuration.services, intent.service, _name)
            return configuration.model_copy(update={"services": services})
        case SetCaller():
            callers = _replaced(configuration.callers, intent.caller, _name)
            return configuration.model_copy(update={"callers": callers})
        case SetDeployment():
            deployments = _replaced(configuration.deployments, intent.deployment, _name)
            return configuration.model_copy(update={"deployments": deployments})


def _remove(
    configuration: Configuration, intent: RemoveClass | RemoveService | RemoveCaller
) -> Configuration | IntentFailure:
    match intent:
        case RemoveClass():
            return _remove_class(configuration, intent)
        case RemoveService():
            return _remove_service(configuration, intent)
        case RemoveCaller():
            return _remove_caller(configuration, intent)


def _name(entry: object) -> str:
    return str(getattr(entry, "name"))  # noqa: B009


Entry = TypeVar("Entry")


def _replaced(
    entries: tuple[Entry, ...], entry: Entry, identity: Callable[[Entry], object]
) -> tuple[Entry, ...]:
    """Return ``entries`` with ``entry`` in the place of its namesake, else at the end."""
    if all(identity(present) != identity(entry) for present in entries):
        return (*entries, entry)
    return tuple(entry if identity(present) == identity(entry) else present for present in entries)


def _subject(attachment: Attachment) -> tuple[str, str, str | None]:
    return attachment.service, attachment.kind, attachment.caller


def _assign_class(
    configuration: Configuration, intent: AssignClass
) -> Configuration | IntentFailure:
    service = _service_with_kind(configuration, intent.service, intent.kind)
    if isinstance(service, Failure):
        return service
    if service.deployment != intent.deployment:
        return _invalid(
            f"deployment: service {service.name!r} is not in {intent.deployment!r}; "
            f"allowed: [{service.deployment!r}]"
        )
    if configuration.priority_class(intent.class_name) is None:
        names = [entry.name for entry in configuration.classes]
        return _unknown("class_name", intent.class_name, [*names, *RESERVED_CLASS_NAMES])
    if intent.caller is not None and configuration.caller(intent.caller) is None:
        return _unknown("caller", intent.caller, (_name(entry) for entry in configuration.callers))
    attachment = Attachment(
        service=intent.service,
        kind=intent.kind,
        class_name=intent.class_name,
        caller=intent.caller,
    )
    attachments = _replaced(configuration.attachments, attachment, _subject)
    return configuration.model_copy(update={"attachments": attachments})


def _service_with_kind(
    configuration: Configuration, service_name: str, kind_name: str
) -> Service | IntentFailure:
    service = configuration.service(service_name)
    if service is None:
        names = (entry.name for entry in configuration.services)
        return _unknown("service", service_name, names)
    if service.kind(kind_name) is None:
        return _unknown("kind", kind_name, (kind.name for kind in service.kinds))
    return service


def _unassign_class(
    configuration: Configuration, intent: UnassignClass
) -> Configuration | IntentFailure:
    subject = (intent.service, intent.kind, intent.caller)
    kept = tuple(entry for entry in configuration.attachments if _subject(entry) != subject)
    if len(kept) == len(configuration.attachments):
        present = [f"{entry.service}/{entry.kind}" for entry in configuration.attachments]
        return _unknown("service/kind", f"{intent.service}/{intent.kind}", present)
    return configuration.model_copy(update={"attachments": kept})


def _set_class(configuration: Configuration, intent: SetClass) -> Configuration | IntentFailure:
    if intent.name in RESERVED_CLASS_NAMES:
        return _invalid(
            f"name: {intent.name!r} is reserved; allowed: any but {list(RESERVED_CLASS_NAMES)}"
        )
    entry = PriorityClass(
        name=ClassName(intent.name),
        price=intent.price,
        promise_seconds=intent.promise_seconds,
    )
    classes = _replaced(configuration.classes, entry, _name)
    return configuration.model_copy(update={"classes": classes})


def _remove_class(
    configuration: Configuration, intent: RemoveClass
) -> Configuration | IntentFailure:
    if configuration.priority_class(intent.name) is None:
        return _unknown("name", intent.name, (entry.name for entry in configuration.classes))
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
        return _invalid(f"name: class {intent.name!r} is still used by {users}; move these first")
    kept = tuple(entry for entry in configuration.classes if entry.name != intent.name)
    return configuration.model_copy(update={"classes": kept})


def _set_shards(configuration: Configuration, intent: SetShards) -> Configuration | IntentFailure:
    service = configuration.service(intent.service)
    if service is None:
        names = (entry.name for entry in configuration.services)
        return _unknown("service", intent.service, names)
    changed = service.model_copy(update={"shards": intent.shards})
    services = _replaced(configuration.services, changed, _name)
    return configuration.model_copy(update={"services": services})


def _remove_service(
    configuration: Configuration, intent: RemoveService
) -> Configuration | IntentFailure:
    if configuration.service(intent.name) is None:
        return _unknown("name", intent.name, (entry.name for entry in configuration.services))
    callers = tuple(
        caller.model_copy(
            update={"services": tuple(name for name in caller.services if name != intent.name)}
        )
        for caller in configuration.callers
    )
    return configuration.model_copy(
        update={
            "services": tuple(e for e in configuration.services if e.name != intent.name),
            "attachments": tuple(e for e in configuration.attachments if e.service != intent.name),
            "callers": callers,
        }
    )


def _remove_caller(
    configuration: Configuration, intent: RemoveCaller
) -> Configuration | IntentFailure:
    if configuration.caller(intent.name) is None:
        return _unknown("name", intent.name, (entry.name for entry in configuration.callers))
    return configuration.model_copy(
        update={
            "callers": tuple(e for e in configuration.callers if e.name != intent.name),
            "attachments": tuple(e for e in configuration.attachments if e.caller != intent.name),
        }
    )


def _restore(
    configuration: Configuration, intent: RestoreRevision, history: History
) -> Configuration | IntentFailure:
    earlier = history.get(intent.revision)
    if earlier is None:
        return _invalid(
            f"revision: {intent.revision} is not kept; allowed: those that "
            "`wingquay configuration history` lists"
        )
    return earlier.model_copy(
        update={"revision": configuration.revision, "confirm_id": configuration.confirm_id}
    )
