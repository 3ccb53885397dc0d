"""What the admin interfaces of the stand-ins have in common: reading a command."""

from collections.abc import Mapping

from pydantic import BaseModel, ConfigDict, ValidationError

from ..adapters.http_messages import HttpRequest, HttpResponse
from .backend_wire import problem_response

ADMIN_PREFIX = "/admin/"


class AdminCommand(BaseModel):
    """Base of every admin command."""

    model_config = ConfigDict(frozen=True, extra="forbid")


def command_name(request: HttpRequest) -> str:
    """Return what follows ``ADMIN_PREFIX`` in the path."""
    return request.path.removeprefix(ADMIN_PREFIX)


def read_command(
    request: HttpRequest, commands: Mapping[str, type[AdminCommand]]
) -> AdminCommand | HttpResponse:
    """Return the command that a request asks for, or the response that refuses it."""
    name = command_name(request)
    command_type = commands.get(name)
    if command_type is None:
        return problem_response(404, "unknown-command", f"no admin command {name!r}")
    try:
        return command_type.model_validate_json(request.body or b"{}")
    except ValidationError as error:
        return problem_response(400, "invalid", str(error))
