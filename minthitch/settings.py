"""Reads Settings from their nested JSON, for the node and for the simulator's adapter."""

from __future__ import annotations

import json
from typing import Any

from minthitch import interface as api

# JSON values and keys, and what they stand for in minthitch.interface.
EFFECT = {"repeatable": api.Effect.SAFE, "by_key": api.Effect.KEYED, "once": api.Effect.UNSAFE}
OBJECTIVE = (
    ("whole", "whole", 0.0),
    ("worst_window", "worstWindow", 0.0),
    ("worst_class", "worstClass", 0.0),
    ("worst_tenant", "worstTenant", 0.0),
    ("tail", "tail", 0.0),
    ("tail_miss", "tailMiss", 0.01),
    ("nines", "nines", 0.0),
    ("top_nines", "topNines", 3.0),
)
PRICES = (
    ("cross_zone", "crossZone"),
    ("waste", "waste"),
    ("late_fail", "lateFail"),
    ("probe", "probe"),
    ("peer", "peer"),
    ("handshake", "handshake"),
    ("connection", "connection"),
    ("discovery", "registryMode"),
)


class SettingsError(ValueError):
    """Invalid settings; the message names the key and what is wrong with it."""


def _number(table: dict[str, Any], name: str, default: float | None, where: str) -> float:
    value = table.get(name, default)
    if value is None:
        raise SettingsError(f"settings: {where}{name} is missing")
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not abs(value) < 1 << 63:
        raise SettingsError(f"settings: {where}{name} is not a number in range")
    return value


def _flag(table: dict[str, Any], name: str, default: bool) -> bool:
    value = table.get(name, default)
    if not isinstance(value, bool):
        raise SettingsError(f"settings: {name} is not true or false")
    return value


def _positions(row: dict[str, Any], name: str, where: str) -> tuple[int, ...] | None:
    """Positions in the lists of zones or kinds; None, which allows all, if the key is absent."""
    value = row.get(name)
    if value is None:
        return None
    if not isinstance(value, list) or not all(isinstance(v, int) and not isinstance(v, bool) for v in value):
        raise SettingsError(f"settings: {where}{name} is not a list of positions")
    return tuple(value)


def _table(parent: dict[str, Any], name: str) -> dict[str, Any]:
    value = parent.get(name) or {}
    if not isinstance(value, dict):
        raise SettingsError(f"settings: {name} is not an object")
    return value


def _rows(parent: dict[str, Any], name: str) -> list[dict[str, Any]]:
    value = parent.get(name) or []
    if not isinstance(value, list) or not all(isinstance(row, dict) for row in value):
        raise SettingsError(f"settings: {name} is not a list of objects")
    return value


def _names(parent: dict[str, Any], name: str) -> tuple[str, ...]:
    value = parent.get(name) or []
    if not isinstance(value, list):
        raise SettingsError(f"settings: {name} is not a list")
    return tuple(map(str, value))


def read_settings(text: bytes) -> api.Settings:
    """Parse the settings from JSON text."""
    try:
        top = json.loads(text)
    except (ValueError, RecursionError) as err:
        raise SettingsError(f"settings: not JSON ({err})") from None
    return from_object(top)


def from_object(top: object) -> api.Settings:
    """Build the settings from decoded JSON.

    Unknown keys are ignored. Required are `classes`, and `objectiveNs` and `deadlineNs` in each class; all
    other keys default to the values of api.Settings and api.RequestClass.
    """
    if not isinstance(top, dict):
        raise SettingsError("settings: not an object")
    classes = []
    for i, row in enumerate(_rows(top, "classes")):
        where = f"classes[{i}]."
        effect, group = row.get("effect", "once"), row.get("group", "all")
        if effect not in EFFECT:
            raise SettingsError(f"settings: {where}effect {effect!r} is unknown")
        if group not in ("all", "zone", "cell"):
            raise SettingsError(f"settings: {where}group {group!r} is unknown")
        classes.append(
            api.RequestClass(
                name=str(row.get("name", i)),
                effect=EFFECT[effect],
                group=api.Group(group),
                aim=int(_number(row, "objectiveNs", None, where)),
                deadline=int(_number(row, "deadlineNs", None, where)),
                window=int(_number(row, "windowNs", 0, where)),
                worth=_number(row, "worth", 1.0, where),
                late_worth=_number(row, "lateValue", 0.0, where),
                stream=_flag(row, "stream", False),
                zones=_positions(row, "confinedTo", where),
                kinds=_positions(row, "flavorsAllowed", where),
                aim_stretch=_number(row, "aimStretch", 0.0, where),
            )
        )
    tenants = tuple(
        api.Tenant(str(row.get("name", i)), _number(row, "allowancePerS", 0.0, f"customers[{i}]."))
        for i, row in enumerate(_rows(top, "customers"))
    )
    limits, rules, prices = _table(top, "policyLimits"), _table(top, "rules"), _table(top, "deductions")
    report = _table(top, "report")
    columns = report.get("columns") or []
    if not isinstance(columns, list):
        raise SettingsError("settings: report.columns is not a list")
    mix, info = _table(top, "objectiveMix"), _table(top, "familyInfo")
    share = rules.get("budgetShare")
    try:
        return api.Settings(
            classes=tuple(classes),
            tenants=tenants,
            tier=int(_number(top, "tier", 0, "")),
            zone=int(_number(top, "zone", 0, "")),
            node=int(_number(top, "me", 0, "")),
            siblings=int(_number(top, "siblings", 1, "")),
            tick=int(_number(top, "periodNs", api.MILLISECOND, "")),
            ask_for_list=top.get("registryMode", "push") == "ask",
            ask_within=int(_number(rules, "mustAskInNs", 10 * api.SECOND, "rules.")),
            drain_grace=int(_number(rules, "drainGraceNs", 0, "rules.")),
            answer_slack=int(_number(rules, "graceToAnswerNs", 0, "rules.")),
            cold_share=_number(rules, "coldFrom", 1.0, "rules."),
            cold_time=int(_number(rules, "coldNs", 0, "rules.")),
            cold_multiple=_number(rules, "overloadFactor", 1.0, "rules."),
            cold_window=int(_number(rules, "overloadForNs", api.SECOND, "rules.")),
            budget_share=None if share is None else _number(rules, "budgetShare", 0.0, "rules."),
            budget_free=_number(rules, "freeResends", 0.0, "rules."),
            budget_window=int(_number(rules, "resendSpanNs", 5 * api.SECOND, "rules.")),
            may_cancel=_flag(limits, "mayCancel", True),
            may_duplicate=_flag(limits, "mayDuplicate", True),
            may_probe=_flag(limits, "mayProbe", False),
            may_tell=_flag(limits, "peerMessages", False),
            max_attempts=int(_number(limits, "sendCap", 1, "policyLimits.")),
            retry_after=_flag(limits, "retryAfter", False),
            connect_timeout=int(_number(limits, "connectTimeoutNs", 0, "policyLimits.")),
            idle_close=int(_number(limits, "idleCloseNs", 0, "policyLimits.")),
            streams=int(_number(limits, "streamsPerConn", 1, "policyLimits.")),
            passes_deadline=_flag(info, "passesDeadline", True),
            weights=str(top.get("weights", "off")),
            objective=api.Objective(
                **{field: _number(mix, name, default, "objectiveMix.") for field, name, default in OBJECTIVE}
            ),
            prices=api.Prices(**{field: _number(prices, name, 0.0, "deductions.") for field, name in PRICES}),
            max_retry_after=int(_number(limits, "maxRetryAfterNs", 0, "policyLimits.")),
            over_share_worth=_number(top, "overShareWorth", 1.0, ""),
            worth_by_work=top.get("worthBy", "request") == "work",
            report_columns=tuple(map(str, columns)) if report.get("via", "off") != "off" else (),
            reports_in_answers=report.get("via") == "inline",
            zones=_names(top, "areas"),
            kinds=_names(top, "flavors"),
            max_open=int(_number(limits, "maxOpen", 0, "policyLimits.")),
        )
    except ValueError as err:
        raise SettingsError(str(err)) from None
