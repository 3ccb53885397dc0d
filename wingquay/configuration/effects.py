"""Computes which request kinds gain or lose priority by a change of configuration."""

from ..model.configuration import Configuration, RequestKind, Service
from ..model.identifiers import CallerName, RequestKindName, ServiceName
from ..model.plan import ClassEffect, ClassTerms, EffectDirection

Subject = tuple[ServiceName, RequestKindName, CallerName | None]
"""Service, kind and caller; ``None`` stands for all callers without their own assignment."""


def class_effects(before: Configuration, after: Configuration) -> tuple[ClassEffect, ...]:
    """Return the kinds whose class or class terms change, then the kinds affected by these."""
    subjects = _subjects(before, after)
    direct = [
        effect
        for subject in subjects
        if (effect := _direct_effect(before, after, subject)) is not None
    ]
    changed = {(effect.service, effect.kind, effect.caller) for effect in direct}
    unchanged = [subject for subject in subjects if subject not in changed]
    indirect = [
        effect
        for subject in unchanged
        if (effect := _indirect_effect(after, subject, direct)) is not None
    ]
    return (*direct, *indirect)


def class_terms(configuration: Configuration, subject: Subject) -> ClassTerms | None:
    """Return the terms of the class that serves ``subject``, or ``None`` if there is none."""
    service_name, kind_name, caller = subject
    service = configuration.service(service_name)
    kind = service.kind(kind_name) if service is not None else None
    if service is None or kind is None:
        return None
    class_name = configuration.class_for(service, kind, caller or "")
    entry = configuration.priority_class(class_name)
    if entry is None:
        return None
    return ClassTerms(
        class_name=class_name, price=entry.price, promise_seconds=entry.promise_seconds
    )


def _subjects(before: Configuration, after: Configuration) -> list[Subject]:
    """Return the subjects of both configurations, in order and without duplicates."""
    subjects: dict[Subject, None] = {}
    for configuration in (before, after):
        for service in configuration.services:
            for kind in service.kinds:
                subjects.update(dict.fromkeys(_kind_subjects(configuration, service, kind)))
    return list(subjects)


def _kind_subjects(
    configuration: Configuration, service: Service, kind: RequestKind
) -> list[Subject]:
    callers = [
        entry.caller
        for entry in configuration.attachments
        if (entry.service, entry.kind) == (service.name, kind.name) and entry.caller is not None
    ]
    return [(service.name, kind.name, None), *((service.name, kind.name, c) for c in callers)]


def _direct_effect(
    before: Configuration, after: Configuration, subject: Subject
) -> ClassEffect | None:
    old, new = class_terms(before, subject), class_terms(after, subject)
    if old == new:
        return None
    service, kind, caller = subject
    return ClassEffect(
        service=service,
        kind=kind,
        caller=caller,
        before=old,
        after=new,
        direction=_direction(old, new),
        because=f"class {_describe_terms(old)} -> {_describe_terms(new)}",
    )


def _describe_terms(terms: ClassTerms | None) -> str:
    if terms is None:
        return "none"
    return f"{terms.class_name} (price {terms.price:g}, promise {terms.promise_seconds:g} s)"


def _direction(old: ClassTerms | None, new: ClassTerms | None) -> EffectDirection:
    if old is None:
        return EffectDirection.GAINS
    if new is None:
        return EffectDirection.LOSES
    better = new.price > old.price or new.promise_seconds < old.promise_seconds
    worse = new.price < old.price or new.promise_seconds > old.promise_seconds
    if better and worse:
        return EffectDirection.MIXED
    return EffectDirection.LOSES if worse else EffectDirection.GAINS


def _indirect_effect(
    after: Configuration, subject: Subject, direct: list[ClassEffect]
) -> ClassEffect | None:
    """Return the effect on a kind that keeps its class but changes its rank in the service."""
    terms = class_terms(after, subject)
    service, kind, caller = subject
    if terms is None:
        return None
    changed = [effect for effect in direct if effect.service == service and effect.kind != kind]
    kinds_overtaking = [
        effect.kind
        for effect in changed
        if _price(effect.before) <= terms.price < _price(effect.after)
    ]
    kinds_overtaken = [
        effect.kind
        for effect in changed
        if _price(effect.after) <= terms.price < _price(effect.before)
    ]
    if not kinds_overtaking and not kinds_overtaken:
        return None
    parts = [f"{name} is now served before it" for name in kinds_overtaking]
    parts += [f"{name} is no longer served before it" for name in kinds_overtaken]
    direction = (
        EffectDirection.MIXED if kinds_overtaking and kinds_overtaken else EffectDirection.LOSES
    )
    return ClassEffect(
        service=service,
        kind=kind,
        caller=caller,
        before=terms,
        after=terms,
        direction=direction if kinds_overtaking else EffectDirection.GAINS,
        because="; ".join(dict.fromkeys(parts)),
    )


def _price(terms: ClassTerms | None) -> float:
    return terms.price if terms is not None else 0.0
