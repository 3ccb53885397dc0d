"""Protobuf form of the configuration messages."""

from ..model.identifiers import Revision
from ..ports.peer import ConfigurationBody, ConfigurationFetch
from .proto import peer_pb2


def put_configuration_fetch(
    target: peer_pb2.ConfigurationFetch,
    message: ConfigurationFetch,
) -> None:
    """Write a request for a newer configuration."""
    target.known_revision = message.known_revision


def configuration_fetch_from(
    message: peer_pb2.ConfigurationFetch,
) -> ConfigurationFetch:
    """Read a request for a newer configuration."""
    return ConfigurationFetch(Revision(message.known_revision))


def put_configuration_body(target: peer_pb2.ConfigurationBody, message: ConfigurationBody) -> None:
    """Write a configuration."""
    target.revision = message.revision
    target.body = message.body


def configuration_body_from(message: peer_pb2.ConfigurationBody) -> ConfigurationBody:
    """Read a configuration."""
    return ConfigurationBody(Revision(message.revision), message.body)
