"""Maps the scheduler's settings from their names in the platform's JSON to the fields of `scheduling/interface.py`.

The platform's file and the simulator's start record contain the same object. No other module uses the object's names.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from enum import Enum
from typing import Any, TypeVar, cast

from moorusher.scheduling import interface as api


class SettingsError(ValueError):
    """The settings are invalid; the message names the setting."""


EFFECTS = {
    "free": api.Effect.IDEMPOTENT,
    "guarded": api.Effect.IDEMPOTENT_WITH_KEY,
    "single_shot": api.Effect.NOT_IDEMPOTENT,
}
PREEMPTION_MODES = {member.value: member for member in api.Preemption}
SIGNAL_KINDS = {member.value: member for member in api.SignalKind}
DOWNSTREAM_MODES = {
    "off": api.Downstream.OFF,
    "one_for_all": api.Downstream.SHARED,
    "tier": api.Downstream.TIER,
}

# JSON keys of the fields of `scheduling/settings.py` whose name differs from the key. Error messages use the key, which
# operators find in the file.
KEY_OF_FIELD = {
    "latency_objective_ms": "aimMs",
    "priority_weight": "worth",
    "late_value_fraction": "lateShare",
    "objective_ms_per_cost_ms": "aimStretch",
    "idempotency_window_ms": "windowMs",
    "value_fraction_without_call": "worthWithout",
    "quota_share": "share",
    "survivable_runs_per_core": "tipMultiple",
    "overload_window_ms": "overloadForMs",
    "warm_up_initial_speed": "coldShare",
    "warm_up_ms": "warmAfterMs",
    "signal_ttl_ms": "heardForMs",
    "call_quota_window_ms": "depWindowMs",
    "call_quota": "fairCalls",
    "abandoned_call_ms": "staysForMs",
    "answer_cache_ms": "freshForMs",
    "max_idle_connection_ms": "keepaliveMaxMs",
    "max_retry_after_ms": "maxRetryAfterMs",
    "over_quota_weight": "overShareWorth",
}
_RENAMED_FIELD = re.compile(rf"\b({'|'.join(KEY_OF_FIELD)})\b")

ValueT = TypeVar("ValueT")
EnumT = TypeVar("EnumT", bound=Enum)


class _Object:
    """One JSON object; a missing or invalid value raises `SettingsError` with the setting's path."""

    def __init__(self, data: Any, path: str = "") -> None:
        if not isinstance(data, Mapping):
            raise SettingsError(f"setting {path or 'setup'}: expected an object, got {data!r}")
        self.data = data
        self.path = path

    def get(self, key: str, default: ValueT) -> ValueT:
        """Return an optional value of the default's type; integers are accepted as floats."""
        value = self.data.get(key)
        if value is None:
            return default
        kind = type(default)
        has_type = isinstance(value, (int, float) if kind is float else kind)
        if not has_type or isinstance(value, bool) is not (kind is bool):
            raise SettingsError(f"setting {self.path}{key}: expected {kind.__name__}, got {value!r}")
        return cast(ValueT, float(value)) if kind is float else cast(ValueT, value)

    def require(self, key: str, kind: type[ValueT]) -> ValueT:
        """Return a required value of this type."""
        if self.data.get(key) is None:
            raise SettingsError(f"setting {self.path}{key}: required, expected {kind.__name__}")
        return self.get(key, kind())

    def choice(self, key: str, options: Mapping[str, EnumT], default: EnumT) -> EnumT:
        """Return an optional member of an Enum by its name in the JSON."""
        value = self.data.get(key)
        if value is None:
            return default
        if not isinstance(value, str) or value not in options:
            expected = ", ".join(options)
            raise SettingsError(f"setting {self.path}{key}: expected one of {expected}, got {value!r}")
        return options[value]

    def object(self, key: str) -> _Object:
        """Return an optional object; it is empty if the key is missing."""
        return _Object(self.data.get(key) or {}, f"{self.path}{key}.")

    def values(self, key: str, kind: type[ValueT]) -> list[ValueT]:
        """Return a list of simple values of this type; errors name the item."""
        listed: list[Any] = self.get(key, [])
        items = _Object({str(i): value for i, value in enumerate(listed)}, f"{self.path}{key}.")
        return [items.require(str(i), kind) for i in range(len(listed))]

    def objects(self, key: str) -> list[_Object]:
        """Return a list of objects; errors name the item."""
        listed: list[Any] = self.get(key, [])
        return [_Object(item, f"{self.path}{key}[{i}].") for i, item in enumerate(listed)]


def parse_settings(text: bytes, seed: int = 0) -> api.Settings:
    """Parse the settings from the platform's JSON; unknown keys are ignored.

    :raises SettingsError: the text is not valid JSON, or a setting is missing, of a wrong type or out of bounds.
    """
    try:
        root = _Object(json.loads(text))
    except (UnicodeDecodeError, json.JSONDecodeError, RecursionError) as exc:
        raise SettingsError(f"the settings are not valid JSON: {exc}") from exc
    try:
        return _parse_root(root, seed)
    except SettingsError:
        raise
    except (ValueError, OverflowError) as exc:
        raise SettingsError(_with_json_keys(exc)) from exc


def _parse_root(root: _Object, seed: int) -> api.Settings:
    """Return the settings. The message of a ValueError names the field of `api.Settings`, not the JSON key."""
    extra = root.object("extra")
    invariants = root.object("invariants")
    limits = root.object("limits")
    return api.Settings(
        cores=extra.require("cpus", int),
        memory_kb=extra.require("memoryKb", float),
        classes=_parse_classes(root, extra),
        seed=seed,
        tenants=_parse_tenants(root),
        run_memory_factor=extra.get("blowup", 1.0),
        key_entry_kb=extra.get("entryKb", 0.0),
        answer_slack_ms=invariants.get("graceToAnswerMs", 50.0),
        drain_grace_ms=invariants.get("stopSendingWithinMs", 1000.0),
        survivable_runs_per_core=invariants.get("tipMultiple", 3.0),
        overload_window_ms=invariants.get("overloadForMs", 2000.0),
        warming_up=extra.get("cold", False),
        warm_up_initial_speed=invariants.get("coldShare", 1.0),
        warm_up_ms=invariants.get("warmAfterMs", 0.0),
        preemption=extra.choice("halt", PREEMPTION_MODES, api.Preemption.OFF),
        signal=extra.choice("say", SIGNAL_KINDS, api.SignalKind.OFF),
        signal_ttl_ms=extra.get("heardForMs", 1000.0),
        callers=extra.get("upstreams", 1),
        peers=root.get("peersTotal", 1),
        downstream=extra.choice("below", DOWNSTREAM_MODES, api.Downstream.OFF),
        call_quota=extra.get("fairCalls", 0.0),
        call_quota_window_ms=extra.get("depWindowMs", 5000.0),
        abandoned_call_ms=extra.get("staysForMs", 0.0),
        answer_cache_ms=extra.get("freshForMs", 0.0),
        deep_checks=extra.get("deepChecks", False),
        propagates_deadline=extra.get("passesDeadline", False),
        discovery_follows_health=extra.get("registryFollows", False),
        reports_disconnects=extra.get("tellsGone", False),
        retries_marked=root.object("callers").get("marksRetry", False),
        max_idle_connection_ms=extra.get("keepaliveMaxMs", 0.0),
        max_retry_after_ms=_parse_max_retry_after_ms(limits),
        over_quota_weight=root.get("overShareWorth", 1.0),
        gauges=tuple(extra.values("gauges", str)),
    )


def _parse_classes(root: _Object, extra: _Object) -> tuple[api.RequestClass, ...]:
    """Return the request classes. Their properties of downstream calls are in separate lists, which may be shorter."""
    may_call = extra.values("classCalls", bool)
    value_without_call = extra.values("worthWithout", float)
    return tuple(
        _parse_class(
            item,
            may_call[i] if i < len(may_call) else False,
            value_without_call[i] if i < len(value_without_call) else 0.0,
        )
        for i, item in enumerate(root.objects("classes"))
    )


def _parse_class(item: _Object, may_call: bool, value_without_call: float) -> api.RequestClass:
    try:
        return api.RequestClass(
            latency_objective_ms=item.require("aimMs", float),
            deadline_ms=item.require("deadlineMs", float),
            name=item.get("name", ""),
            priority_weight=item.get("worth", 1.0),
            late_value_fraction=item.get("lateShare", 0.0),
            objective_ms_per_cost_ms=item.get("aimStretch", 0.0),
            effect=item.choice("effect", EFFECTS, api.Effect.IDEMPOTENT),
            idempotency_window_ms=item.get("windowMs", 0.0),
            may_call=may_call,
            value_fraction_without_call=value_without_call,
        )
    except SettingsError:
        raise
    except (ValueError, OverflowError) as exc:  # `api.RequestClass` does not know the index of the class.
        raise SettingsError(_with_json_keys(exc).replace("classes[].", item.path)) from exc


def _with_json_keys(error: Exception) -> str:
    # Replaces the names of fields in the message.
    return _RENAMED_FIELD.sub(lambda found: KEY_OF_FIELD[found[0]], str(error))


def _parse_tenants(root: _Object) -> tuple[api.Tenant, ...]:
    return tuple(
        api.Tenant(
            quota_share=item.get("share", 1.0),
            name=item.get("name", ""),
            quota_per_s=item.get("quotaRps", 0.0),
        )
        for item in root.objects("realms")
    )


def _parse_max_retry_after_ms(limits: _Object) -> float:
    """Return the limit of Retry-After; 0 (no Retry-After) if the platform does not forward it to clients."""
    max_ms = limits.get("maxRetryAfterMs", 0.0)
    return max_ms if limits.get("retryAfter", True) else 0.0
