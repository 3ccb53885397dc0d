"""What a run showed, as JSON and as text."""

from collections import Counter
from pathlib import Path
from typing import Any

import attrs
import orjson

from .checks.violation import Violation
from .ledger import Ending, Ledger, SpanKind
from .settings import SoakSettings
from .trace import trace

TRACED_VIOLATIONS = 10


@attrs.frozen
class RunReport:
    """One run and what broke in it.

    Parameters
    ----------
    faults
        Names of the faults in the order of their begins.
    traces
        Lines about the requests of the first violations.
    """

    settings: SoakSettings
    faults: tuple[str, ...]
    requests: int
    outcomes: dict[str, int]
    served_share: float
    p50_ms: float
    p99_ms: float
    starts: int
    not_ready: tuple[str, ...]
    late_seconds: float
    violations: tuple[Violation, ...]
    traces: tuple[str, ...]

    @property
    def is_kept(self) -> bool:
        """Whether no rule was broken and all nodes became ready."""
        return not self.violations and not self.not_ready

    def line(self) -> str:
        """Return the run in one line."""
        broken = Counter(item.rule.value for item in self.violations)
        counts = " ".join(f"{rule}={count}" for rule, count in sorted(broken.items())) or "none"
        return (
            f"seed={self.settings.seed} profile={self.settings.profile or '-'} "
            f"nodes={self.settings.nodes} faults={len(self.faults)} "
            f"starts={self.starts} requests={self.requests} served={self.served_share:.3f} "
            f"p50_ms={self.p50_ms:.0f} p99_ms={self.p99_ms:.0f} "
            f"late_seconds={self.late_seconds:.1f} broken: {counts}"
        )


def make_report(
    ledger: Ledger,
    settings: SoakSettings,
    faults: tuple[str, ...],
    violations: list[Violation],
    not_ready: tuple[str, ...],
    logs: list[Path],
) -> RunReport:
    """Return the report of a run."""
    attempts = [item for item in ledger.attempts.values() if item.ended_at is not None]
    served = [item for item in attempts if item.ending is Ending.ANSWERED and item.status < 300]
    waited = [item for item in attempts if item.ending is not Ending.LEFT]
    times = sorted((item.ended_at or 0.0) - item.sent_at for item in served)
    starts = sum(span.kind is SpanKind.START for span in ledger.spans)
    late = sum(span.ended_at - span.begun_at for span in ledger.spans if span.kind is SpanKind.LAG)
    traces: list[str] = []
    for violation in violations[:TRACED_VIOLATIONS]:
        traces.append(f"{violation.rule.value}: {violation.text}")
        for request_id in violation.request_ids[:2]:
            traces += trace(ledger, logs, request_id)
    return RunReport(
        settings,
        faults,
        len(attempts),
        dict(sorted(Counter(item.outcome for item in attempts).items())),
        len(served) / max(len(waited), 1),
        _quantile_ms(times, 0.5),
        _quantile_ms(times, 0.99),
        starts,
        not_ready,
        late,
        tuple(violations),
        tuple(traces),
    )


def to_json(reports: list[RunReport]) -> bytes:
    """Return reports as JSON."""
    documents: list[Any] = [
        attrs.asdict(report, recurse=True, value_serializer=_plain) for report in reports
    ]
    return orjson.dumps(documents, option=orjson.OPT_INDENT_2)


def to_text(reports: list[RunReport]) -> str:
    """Return reports as text: a line a run, then the traces."""
    lines = [report.line() for report in reports]
    requests = sum(report.requests for report in reports)
    broken = [report.settings.seed for report in reports if not report.is_kept]
    lines.append(f"runs={len(reports)} requests={requests} broken_seeds={broken or 'none'}")
    for report in reports:
        lines += [f"[seed {report.settings.seed}] {line}" for line in report.traces]
        lines += [f"[seed {report.settings.seed}] not ready: {name}" for name in report.not_ready]
    return "\n".join(lines) + "\n"


def _plain(_instance: type, _field: Any, found: Any) -> Any:
    return found.value if hasattr(found, "value") and not attrs.has(type(found)) else found


def _quantile_ms(times: list[float], quantile: float) -> float:
    return times[min(int(len(times) * quantile), len(times) - 1)] * 1000.0 if times else 0.0
