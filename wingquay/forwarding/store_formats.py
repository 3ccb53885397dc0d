"""Formats of the store's keys and values, provided by the adapter that defines them."""

from collections.abc import Callable
from enum import Enum

from ..model.failure import Failure
from ..model.replica_record import ReplicaRecord
from ..model.routing_table import RoutingTable
from ..model.value import value
from ..ports.crash_messages import HeldRequest
from ..ports.peer_link import NodeRecord


class FormatFailureKind(Enum):
    """Why a value of the store could not be read."""

    MALFORMED = "malformed"


@value
class StoreFormats:
    """Names of keys, and functions that parse and build values.

    Parameters
    ----------
    configuration_key
        Key of the configuration in force.
    replica_prefix
        Prefix of the keys of replica records, followed by the replica's id.
    node_prefix
        Prefix of the keys of nodes, followed by the node's name.
    cluster_key
        Key of the secret that all nodes share.
    evacuation_prefix
        Prefix of the keys of evacuated zones, whose replicas receive no requests, followed by the
        zone's name.
    parse_configuration, parse_replica
        Parse a value into its typed form.
    parse_node
        Parses the value of a node's key; ``None`` if the node cannot be reached.
    node_value
        Returns the value of a node's key for its record.
    held_prefix
        Prefix of the keys of held requests, followed by their identity in hex.
    parse_held, held_value
        Parse the value of a held request's key, ``None`` if it is malformed, and build it.
    """

    configuration_key: str
    replica_prefix: str
    node_prefix: str
    cluster_key: str
    evacuation_prefix: str
    parse_configuration: Callable[[bytes], RoutingTable | Failure[FormatFailureKind]]
    parse_replica: Callable[[str, bytes], ReplicaRecord | Failure[FormatFailureKind]]
    parse_node: Callable[[bytes], NodeRecord | None]
    node_value: Callable[[NodeRecord], bytes]
    held_prefix: str
    parse_held: Callable[[bytes], HeldRequest | None]
    held_value: Callable[[HeldRequest], bytes]
