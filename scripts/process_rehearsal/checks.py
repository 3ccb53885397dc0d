"""Compares what callers were told with what the replicas ran."""

from collections import Counter

from process_rehearsal.load import Record
from process_rehearsal.system import READ_SERVICE, WRITE_SERVICE, ProcessSystem
from wingquay.adapters.http_messages import NOT_SENT_KINDS
from wingquay.model.answer import Outcome

FAULT_SIGNS = ("event=event_failed", "event=action_failed", "event=action_unknown", "Traceback")


async def violations(system: ProcessSystem, records: list[Record]) -> list[str]:
    """Return a line for each thing that must never be, and was."""
    executions: Counter[str] = Counter()
    for replica in system.replicas:
        ledger = await system.replica_ledger(replica)
        executions.update(ledger["executions_by_body"])
    return [
        *_wrong_answers(records),
        *_cut_exchanges(records),
        *_refused_that_ran(records, executions),
        *_writes(records, executions),
    ]


def faults_in_logs(system: ProcessSystem) -> list[str]:
    """Return the lines by which processes report a fault of their own."""
    return [
        f"{process.log_path.name}: {line}"
        for process in system.processes
        for line in process.log_path.read_text(encoding="utf-8").splitlines()
        if any(sign in line for sign in FAULT_SIGNS)
    ]


def _wrong_answers(records: list[Record]) -> list[str]:
    return [
        f"{record.body}: {record.reply.difference}"
        for record in records
        if record.reply.outcome is not None and record.reply.difference
    ]


def _cut_exchanges(records: list[Record]) -> list[str]:
    """Exchanges that broke after they were sent, with a process that nobody killed or paused."""
    return [
        f"{record.body}: cut off by {record.process.name}: {record.reply.difference}"
        for record in records
        if record.reply.outcome is None
        and record.reply.failure not in NOT_SENT_KINDS
        and not record.process.was_killed
    ]


def _refused_that_ran(records: list[Record], executions: Counter[str]) -> list[str]:
    """Find requests that ran although every submission was refused as not run."""
    ran_or_may_have: set[str] = {
        record.body
        for record in records
        if record.reply.outcome not in (Outcome.REFUSED_NOT_RUN, Outcome.INVALID)
        and record.reply.failure not in NOT_SENT_KINDS
    }
    refused = {record.body for record in records if record.reply.outcome is Outcome.REFUSED_NOT_RUN}
    return [
        f"{body}: refused as not run, yet it ran {executions[body]} times"
        for body in sorted(refused - ran_or_may_have)
        if executions[body]
    ]


def _writes(records: list[Record], executions: Counter[str]) -> list[str]:
    lines: list[str] = []
    bodies = {record.body for record in records if record.reply.question.service == WRITE_SERVICE}
    done = {
        record.body
        for record in records
        if record.reply.question.service == WRITE_SERVICE
        and record.reply.outcome is Outcome.COMPLETE
    }
    for body in sorted(bodies):
        if executions[body] > 1:
            lines.append(f"{body}: an unrepeatable request ran {executions[body]} times")
        if body in done and not executions[body]:
            lines.append(f"{body}: answered as done, yet it never ran")
    return lines


def read_share_complete(records: list[Record]) -> float:
    """Return the share of sent reads that were answered completely, 0 to 1."""
    reads = [record for record in records if record.reply.question.service == READ_SERVICE]
    sent = [record for record in reads if record.reply.failure not in NOT_SENT_KINDS]
    complete = sum(1 for record in sent if record.reply.outcome is Outcome.COMPLETE)
    return complete / len(sent) if sent else 0.0
