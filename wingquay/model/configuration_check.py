"""Validation of a configuration: names, references, addresses and key ranges."""

import functools
import ipaddress
from collections import Counter
from collections.abc import Iterable
from typing import Protocol

from .configuration_parts import (
    Attachment,
    Caller,
    Deployment,
    PriorityClass,
    Service,
)
from .identifiers import ClassName, ServiceName


class ConfigurationContents(Protocol):
    """The parts of a configuration that are validated."""

    @property
    def deployments(self) -> tuple[Deployment, ...]:
        """The deployments."""
        ...

    @property
    def classes(self) -> tuple[PriorityClass, ...]:
        """The priority classes."""
        ...

    @property
    def services(self) -> tuple[Service, ...]:
        """The services."""
        ...

    @property
    def callers(self) -> tuple[Caller, ...]:
        """The callers."""
        ...

    @property
    def attachments(self) -> tuple[Attachment, ...]:
        """The assignments of callers' request kinds to classes."""
        ...

    def service(self, name: ServiceName) -> Service | None:
        """Return the service with a name, or ``None``."""
        ...

    def priority_class(self, name: ClassName) -> PriorityClass | None:
        """Return the class with a name, or ``None``."""
        ...


MAX_CACHED_ADDRESSES = 8_192
"""Size of the cache of validated addresses, most of which reappear in each revision."""


def reference_errors(configuration: ConfigurationContents) -> list[str]:
    """Return one line per error in the configuration, with the item and its value."""
    errors = _duplicate_errors(configuration)
    for service in configuration.services:
        errors += _service_errors(configuration, service)
    errors += _attachment_errors(configuration)
    for caller in configuration.callers:
        for name in caller.services:
            if configuration.service(name) is None:
                errors.append(f"caller {caller.name!r}: unknown service {name!r}")
    return errors


def _duplicates(label: str, names: Iterable[str]) -> list[str]:
    repeated = {name: count for name, count in Counter(names).items() if count > 1}
    return [f"{label} {name!r} is given {count} times" for name, count in repeated.items()]


def _duplicate_errors(configuration: ConfigurationContents) -> list[str]:
    shards = [shard for service in configuration.services for shard in service.shards]
    replicas = [replica for shard in shards for replica in shard.replicas]
    return [
        *_duplicates("class", (entry.name for entry in configuration.classes)),
        *_duplicates("deployment", (entry.name for entry in configuration.deployments)),
        *_duplicates("service", (entry.name for entry in configuration.services)),
        *_duplicates("caller", (entry.name for entry in configuration.callers)),
        *_duplicates("shard", (shard.shard_id for shard in shards)),
        *_duplicates("replica", (replica.replica_id for replica in replicas)),
        *_duplicates("address", (f"{replica.host}:{replica.port}" for replica in replicas)),
    ]


def _service_errors(configuration: ConfigurationContents, service: Service) -> list[str]:
    errors: list[str] = []
    deployments = {entry.name: entry for entry in configuration.deployments}
    deployment = deployments.get(service.deployment)
    if deployment is None:
        errors.append(f"service {service.name!r}: unknown deployment {service.deployment!r}")
    errors += _duplicates(f"service {service.name!r}: kind", (kind.name for kind in service.kinds))
    for kind in service.kinds:
        if configuration.priority_class(kind.class_name) is None:
            errors.append(f"kind {kind.name!r}: unknown class {kind.class_name!r}")
    for shard in service.shards:
        if shard.key_range.is_empty:
            errors.append(f"shard {shard.shard_id!r}: end must be after start")
        for replica in shard.replicas:
            errors += _address_errors(replica.replica_id, replica.host)
            if deployment is not None and replica.zone not in deployment.zones:
                errors.append(
                    f"replica {replica.replica_id!r}: zone {replica.zone!r} "
                    f"is not one of {list(deployment.zones)}"
                )
    return errors + _overlap_errors(service)


def _address_errors(replica_id: str, host: str) -> list[str]:
    if _is_ip_address(host):
        return []
    return [f"replica {replica_id!r}: host {host!r} must be an IP address"]


@functools.lru_cache(maxsize=MAX_CACHED_ADDRESSES)
def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _overlap_errors(service: Service) -> list[str]:
    errors: list[str] = []
    ordered = sorted(service.shards, key=lambda shard: shard.start)
    for left, right in zip(ordered, ordered[1:], strict=False):
        if left.end is None or left.end > right.start:
            errors.append(f"shards {left.shard_id!r} and {right.shard_id!r} overlap")
    return errors


def _attachment_errors(configuration: ConfigurationContents) -> list[str]:
    errors: list[str] = []
    for attachment in configuration.attachments:
        service = configuration.service(attachment.service)
        if service is None:
            errors.append(f"attachment: unknown service {attachment.service!r}")
        elif service.kind(attachment.kind) is None:
            errors.append(f"attachment: service {service.name!r} has no kind {attachment.kind!r}")
        if configuration.priority_class(attachment.class_name) is None:
            errors.append(f"attachment: unknown class {attachment.class_name!r}")
    return errors
