"""Liveness, readiness and metrics pages; they need no token."""

from collections.abc import Callable

from ..ports.caller import SetReady
from .http_messages import HttpRequest, HttpResponse
from .problem_details import json_response, problem, retry_after

LIVE_PATH = "/health/live"
READY_PATH = "/health/ready"
METRICS_PATH = "/metrics"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

READY_RETRY_SECONDS = 1.0
FIRST_REASON = "starting"


class HealthPages:
    """Answers the pages; not ready until told so.

    Parameters
    ----------
    render_metrics
        Returns the metrics page in the Prometheus text format; ``None``: there is none here.
    """

    def __init__(self, render_metrics: Callable[[], bytes] | None = None) -> None:
        self._render_metrics = render_metrics
        self._state = SetReady(ready=False, reason=FIRST_REASON)

    def set_ready(self, state: SetReady) -> None:
        """Change what the readiness page says."""
        self._state = state

    def answer(self, request: HttpRequest) -> HttpResponse | None:
        """Return the health or metrics page asked for, or ``None`` if it is none of these."""
        if request.path == METRICS_PATH and self._render_metrics is not None:
            return _page(request, self._metrics)
        return self.health(request)

    def health(self, request: HttpRequest) -> HttpResponse | None:
        """Return the health page asked for, or ``None`` if it is none."""
        if request.path == LIVE_PATH:
            return _page(request, self._liveness)
        if request.path == READY_PATH:
            return _page(request, self._readiness)
        return None

    def _liveness(self) -> HttpResponse:
        return json_response(200, {"status": "live"})

    def _metrics(self) -> HttpResponse:
        assert self._render_metrics is not None
        return HttpResponse(200, {"content-type": METRICS_TYPE}, self._render_metrics())

    def _readiness(self) -> HttpResponse:
        if self._state.ready:
            return json_response(200, {"status": "ready"})
        headers = retry_after(READY_RETRY_SECONDS)
        return problem(503, "not-ready", self._state.reason, headers)


def _page(request: HttpRequest, render: Callable[[], HttpResponse]) -> HttpResponse:
    return render() if request.method in ("GET", "HEAD") else method_not_allowed("GET, HEAD")


def method_not_allowed(allowed: str) -> HttpResponse:
    """Return the refusal of a method that a path does not know."""
    detail = f"method must be one of: {allowed}"
    return problem(405, "method-not-allowed", detail, {"allow": allowed})
