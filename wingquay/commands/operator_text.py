"""Operators' results as text for people."""

import json
from datetime import UTC, datetime
from typing import Any

Document = dict[str, Any]


def plan_text(document: Document) -> str:
    """Return a plan: what would change, who gains and loses, the outlook, what to do next."""
    plan = document["plan"]
    lines = [
        f"Plan {plan['plan_id']} by {plan['operator']}, on revision {plan['base_revision']}",
        "",
        "Changes:",
        *_indented(plan["diff"]),
    ]
    if plan["diff_omitted"]:
        lines.append(f"  ... and {plan['diff_omitted']} more lines")
    lines += _effect_lines(plan["effects"])
    lines += _outlook_lines(plan["outlook"])
    if plan["warnings"]:
        lines += ["", "Warnings:", *_indented(plan["warnings"])]
    minutes = document["remaining_seconds"] / 60
    return "\n".join(
        [
            *lines,
            "",
            f"Nothing has changed. Within {minutes:.0f} minutes: "
            f"wingquay plan confirm {plan['plan_id']}",
        ]
    )


def plan_list_text(document: Document) -> str:
    """Return the plans that can be confirmed."""
    lines = [
        f"{plan['plan_id']}  on revision {plan['base_revision']}  by {plan['operator']}  "
        f"{plan['remaining_seconds'] / 60:.0f} min left  {plan['first_change']}"
        for plan in document["plans"]
    ]
    return "\n".join([*(lines or ["no plans"]), *_warning_lines(document)])


def confirm_text(document: Document) -> str:
    """Return how a confirm came out."""
    record = document["record"]
    when = "now" if document["outcome"] == "landed" else "by an earlier confirm"
    rebased = " (rebased: the change is exactly what was shown)" if document["rebased"] else ""
    return (
        f"Plan {document['plan_id']} took effect {when} as revision {document['revision']}"
        f"{rebased}, confirmed by {record['confirmed_by']}. "
        "It reaches every zone within seconds: wingquay status"
    )


def discard_text(document: Document) -> str:
    """Return that a plan is gone."""
    return f"Plan {document['plan_id']} is discarded"


def configuration_text(document: Document) -> str:
    """Return a configuration as indented JSON."""
    shown = json.dumps(document["document"], indent=2)
    return "\n".join([shown, *_warning_lines(document)])


def history_text(document: Document) -> str:
    """Return who confirmed what and when, a line each."""
    lines = [_record_line(record) for record in document["records"]]
    return "\n".join([*(lines or ["nothing has been confirmed yet"]), *_warning_lines(document)])


def diff_text(document: Document) -> str:
    """Return what differs between two revisions."""
    heading = f"Revision {document['from_revision']} -> {document['to_revision']}:"
    return "\n".join([heading, *_indented(document["lines"] or ["no difference"])])


def status_text(document: Document) -> str:
    """Return what a node knows of revisions, zones, nodes and the store."""
    store = {True: "answers", False: "does not answer", None: "not asked yet"}
    since = document["in_force_since_seconds"]
    age = f", in force here for {since:.0f} s" if since is not None else ""
    lines = [
        f"Node {document['node_id']} in {document['zone']}: "
        f"revision {_or_none(document['revision'])}{age}",
        f"Store: {store[document['store_reachable']]}",
        "",
        "Zones (nodes heard of all; revisions heard; time from confirm, if taken here):",
        *_indented([_zone_line(zone) for zone in document["zones"]]),
        "",
        "Nodes:",
        *_indented([_node_line(node) for node in document["nodes"]]),
    ]
    return "\n".join([*lines, *_warning_lines(document)])


def _effect_lines(effects: list[Document]) -> list[str]:
    lines: list[str] = []
    for direction in ("gains", "loses", "mixed"):
        chosen = [effect for effect in effects if effect["direction"] == direction]
        if chosen:
            lines += ["", f"{direction.capitalize()}:", *map(_effect_line, chosen)]
    return lines


def _effect_line(effect: Document) -> str:
    whose = effect["caller"] or "all callers"
    return f"  {effect['service']}/{effect['kind']} ({whose}): {effect['because']}"


def _outlook_lines(outlook: list[Document]) -> list[str]:
    lines = [
        f"  {entry['service']}/{entry['kind']}: promise {entry['promise_seconds']:g} s looks "
        f"{entry['verdict'].replace('_', ' ')}: {entry['reason']}"
        for entry in outlook
    ]
    return ["", "Outlook at the load this node sees now:", *lines] if lines else []


def _record_line(record: Document) -> str:
    summary = "; ".join(record["summary"])
    return (
        f"{record['revision']}  {_time(record['confirmed_unix_seconds'])}  "
        f"{record['confirmed_by']} (proposed by {record['proposed_by']})  "
        f"{record['confirm_id']}  {summary}"
    )


def _time(unix_seconds: float) -> str:
    return datetime.fromtimestamp(unix_seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


def _zone_line(zone: Document) -> str:
    low, high = _or_none(zone["lowest_revision"]), _or_none(zone["highest_revision"])
    revisions = low if low == high else f"{low} to {high}"
    took = zone["in_force_seconds"]
    tail = f", in force {took:.3f} s after the confirm" if took is not None else ""
    heard = f"{zone['nodes_heard']} of {zone['nodes']} nodes heard"
    return f"{zone['zone']}: {heard}, revision {revisions}{tail}"


def _node_line(node: Document) -> str:
    revision = _or_none(node["revision"])
    return f"{node['node_id']}  {node['zone']}  {node['address']}  {node['state']}  {revision}"


def _or_none(value: object) -> str:
    return "none" if value is None else str(value)


def _warning_lines(document: Document) -> list[str]:
    return [f"warning: {line}" for line in document.get("warnings", ())]


def _indented(lines: list[str]) -> list[str]:
    return [f"  {line}" for line in lines]
