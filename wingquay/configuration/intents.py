"""Applies intents to a configuration."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from ..model.configuration import Configuration, PriorityClass
from ..model.configuration_check import reference_errors
from ..model.failure import Failure
from ..model.identifiers import Revision
from ..model.intent import (
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
from .class_intents import (
    assign_class,
    remove_class,
    set_class,
    unassign_class,
)
from .intent_failure import (
    IntentFailure,
    entry_name,
    invalid_intent,
    replace_entry,
    unknown_name,
)

History = Mapping[Revision, Configuration]
"""Earlier revisions that ``RestoreRevision`` intents may refer to."""


@dataclass(frozen=True, slots=True)
class AppliedIntents:
    """The configuration that results from intents, and the intents with resolved class names."""

    configuration: Configuration
    resolved: tuple[Intent, ...]


def apply_intents(
    configuration: Configuration,
    intents: Sequence[Intent],
    history: History | None = None,
) -> AppliedIntents | IntentFailure:
    """Apply ``intents`` in order and validate the resulting configuration.

    Parameters
    ----------
    history
        The revisions that ``RestoreRevision`` intents refer to.

    Returns
    -------
    AppliedIntents or Failure
        The failure's reason states the field, its value and the allowed values.
    """
    if not intents:
        return invalid_intent("intents: give at least one")
    resolved: list[Intent] = []
    for number, intent in enumerate(intents, start=1):
        resolved_intent = _resolve(configuration, intent)
        if isinstance(resolved_intent, Failure):
            return invalid_intent(f"intent {number} ({intent.intent}): {resolved_intent.reason}")
        outcome = _apply(configuration, resolved_intent, history or {})
        if isinstance(outcome, Failure):
            return invalid_intent(f"intent {number} ({intent.intent}): {outcome.reason}")
        configuration = outcome
        resolved.append(resolved_intent)
    # Each entry was validated on its own; this validates the references between them.
    errors = reference_errors(configuration)
    if errors:
        return invalid_intent("; ".join(errors))
    return AppliedIntents(configuration, tuple(resolved))


def class_sort_key(entry: PriorityClass) -> tuple[float, float, str]:
    """Return the key that sorts classes from lowest to highest priority."""
    return entry.price, -entry.promise_seconds, entry.name


def _resolve(configuration: Configuration, intent: Intent) -> Intent | IntentFailure:
    if not isinstance(intent, AssignClass) or intent.class_name not in RESERVED_CLASS_NAMES:
        return intent
    ordered = sorted(configuration.classes, key=class_sort_key)
    if not ordered:
        return invalid_intent(
            f"class_name: {intent.class_name!r} cannot be resolved: no class exists yet"
        )
    chosen = {TOP_CLASS: ordered[-1], LOWEST_CLASS: ordered[0]}[intent.class_name]
    return intent.model_copy(update={"class_name": chosen.name})


def _apply(
    configuration: Configuration, intent: Intent, history: History
) -> Configuration | IntentFailure:
    match intent:
        case AssignClass():
            return assign_class(configuration, intent)
        case UnassignClass():
            return unassign_class(configuration, intent)
        case RestoreRevision():
            return _restore(configuration, intent, history)
        case RemoveClass() | RemoveService() | RemoveCaller():
            return _remove(configuration, intent)
        case SetShards():
            return _set_shards(configuration, intent)
        case SetClass():
            return set_class(configuration, intent)
        case SetService() | SetCaller() | SetDeployment():
            return _replace_whole(configuration, intent)


def _replace_whole(
    configuration: Configuration, intent: SetService | SetCaller | SetDeployment
) -> Configuration:
    match intent:
        case SetService():
            services = replace_entry(configuration.services, intent.service, entry_name)
            return configuration.model_copy(update={"services": services})
        case SetCaller():
            callers = replace_entry(configuration.callers, intent.caller, entry_name)
            return configuration.model_copy(update={"callers": callers})
        case SetDeployment():
            deployments = replace_entry(configuration.deployments, intent.deployment, entry_name)
            return configuration.model_copy(update={"deployments": deployments})


def _remove(
    configuration: Configuration, intent: RemoveClass | RemoveService | RemoveCaller
) -> Configuration | IntentFailure:
    match intent:
        case RemoveClass():
            return remove_class(configuration, intent)
        case RemoveService():
            return _remove_service(configuration, intent)
        case RemoveCaller():
            return _remove_caller(configuration, intent)


def _set_shards(configuration: Configuration, intent: SetShards) -> Configuration | IntentFailure:
    service = configuration.service(intent.service)
    if service is None:
        names = (entry.name for entry in configuration.services)
        return unknown_name("service", intent.service, names)
    changed = service.model_copy(update={"shards": intent.shards})
    services = replace_entry(configuration.services, changed, entry_name)
    return configuration.model_copy(update={"services": services})


def _remove_service(
    configuration: Configuration, intent: RemoveService
) -> Configuration | IntentFailure:
    if configuration.service(intent.name) is None:
        return unknown_name("name", intent.name, (entry.name for entry in configuration.services))
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
        return unknown_name("name", intent.name, (entry.name for entry in configuration.callers))
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
        return invalid_intent(
            f"revision: {intent.revision} is not in the history; allowed: those that "
            "`wingquay configuration history` lists"
        )
    return earlier.model_copy(
        update={"revision": configuration.revision, "confirm_id": configuration.confirm_id}
    )
