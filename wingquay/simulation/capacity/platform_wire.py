"""What crosses the network between a node and back ends or platform, as bytes."""

from dataclasses import dataclass

import h11
import orjson

from wingquay.adapters import etcd_json
from wingquay.adapters.backend_json import read_health
from wingquay.adapters.etcd_json import to_base64
from wingquay.adapters.http_messages import HttpResponse, headers_from_raw
from wingquay.model.failure import Failure
from wingquay.model.identifiers import ReplicaId
from wingquay.ports.backend import BackendFailureKind, LoadReport
from wingquay.ports.machine import Event
from wingquay.ports.machine_directory import MachineEntry
from wingquay.ports.store import Read, StoredValue, StoreOperation
from wingquay.standins.backend_wire import health_to_http

HTTP_REQUEST_HEADER_BYTES = 160
HTTP_RESPONSE_HEADER_BYTES = 160
"""Of requests to the store and the machine list; those of health pages are written out."""
WATCH_LINE_BYTES = 100
"""What surrounds the values in a line of a watch."""


@dataclass(frozen=True, slots=True)
class HealthPageArrived(Event):
    """The response of a replica to a read of its health page; ``host`` and port were asked."""

    replica_id: ReplicaId
    host: str
    response: bytes


@dataclass(frozen=True, slots=True)
class MachineListArrived(Event):
    """The body of the platform's machine list."""

    body: bytes


def health_response(load: LoadReport) -> bytes:
    """Return a replica's response."""
    response = health_to_http(load)
    body = response.whole_body
    headers = [*response.headers.items(), ("content-length", str(len(body)))]
    lines = "".join(f"{name}: {text}\r\n" for name, text in headers)
    return f"HTTP/1.1 {response.status} \r\n{lines}\r\n".encode() + body


@dataclass(frozen=True, slots=True)
class HealthPageExchange:
    """The size of a request for a health page, and what the response says."""

    request_bytes: int
    result: LoadReport | Failure[BackendFailureKind]


class HealthPageClient:
    """Takes health pages apart as a node's client does, on a connection that is used again."""

    def __init__(self) -> None:
        self._connection = h11.Connection(h11.CLIENT)

    def exchange(self, arrived: HealthPageArrived) -> HealthPageExchange:
        """Write a request and take in its response."""
        connection = self._connection
        headers = [("host", arrived.host)]
        request = h11.Request(method="GET", target="/health", headers=headers)
        request_bytes = len(connection.send(request) or b"")
        connection.send(h11.EndOfMessage())
        connection.receive_data(arrived.response)
        status, body = 0, b""
        response_headers: dict[str, str] = {}
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if isinstance(event, h11.Response):
                status, response_headers = event.status_code, headers_from_raw(event.headers)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
        connection.start_next_cycle()
        report = read_health(HttpResponse(status, response_headers, body))
        return HealthPageExchange(request_bytes, report)


def machine_list_body(entries: tuple[MachineEntry, ...]) -> bytes:
    """Return the machine list as the platform writes it."""
    return orjson.dumps(
        [
            {
                "host": entry.host,
                "port": entry.port,
                "zone": entry.zone,
                "state": entry.state.value,
            }
            for entry in entries
        ]
    )


def read_reply_body(values: tuple[StoredValue, ...], store_revision: int) -> bytes:
    """Return a reply of the store's JSON gateway that holds ``values``."""
    return orjson.dumps(
        {
            "header": {"revision": str(store_revision)},
            "kvs": [
                {
                    "key": to_base64(entry.key.encode()),
                    "value": to_base64(entry.value),
                    "mod_revision": str(entry.modified_at),
                }
                for entry in values
            ],
        }
    )


def store_request_bytes(operation: StoreOperation) -> int:
    """Encode a request to the store; return its size."""
    return len(etcd_json.encode(operation).body) + HTTP_REQUEST_HEADER_BYTES


def decode_read(body: bytes) -> None:
    """Take a reply apart as the node's client does."""
    etcd_json.decode(Read(""), body)
