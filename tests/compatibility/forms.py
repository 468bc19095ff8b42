"""The encoded form of a type, and samples of its values, both derived from the type alone."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import inspect


def encoded_form(kind: Any) -> Any:
    """Return the tag, the order or encoded names of fields, their types, and the values of Enums."""
    return _form(inspect.type_info(kind))


def _form(info: inspect.Type) -> Any:
    match info:
        case inspect.StructType():
            return _struct_form(info)
        case inspect.EnumType():
            return {"one of": [member.value for member in info.cls]}
        case inspect.UnionType():
            return {"either": [_form(member) for member in info.types]}
        case inspect.DictType():
            return {"by": _form(info.key_type), "of": _form(info.value_type)}
        case inspect.TupleType():
            return {"tuple": [_form(item) for item in info.item_types]}
        case inspect.VarTupleType() | inspect.ListType():
            return {"list": _form(info.item_type)}
    return type(info).__name__.removesuffix("Type").lower()


def _struct_form(info: inspect.StructType) -> dict[str, Any]:
    config = info.cls.__struct_config__
    fields = [[field.encode_name, _form(field.type), *_default(field)] for field in info.fields]
    if info.array_like:  # Field names are not encoded, only their order matters.
        fields = [field[1:] for field in fields]
    return {
        "tag": info.tag,
        "array": info.array_like,
        "leaves out defaults": config.omit_defaults,
        "refuses unknown": info.forbid_unknown_fields,
        "fields": fields,
    }


def _default(field: inspect.Field) -> list[Any]:
    """Return the field's default, or an empty list if the field is required."""
    if field.required:
        return []
    has_factory = field.default_factory is not msgspec.NODEFAULT
    return [{"default": msgspec.to_builtins(field.default_factory() if has_factory else field.default)}]


class SampleFactory:
    """Makes values from a fixed sequence of numbers and strings.

    :param variant: Selects the member of each union or Enum.
    """

    def __init__(self, variant: int) -> None:
        self._variant, self._last_number = variant, 0

    def make(self, kind: Any, all_fields: bool) -> Any:
        """Make a value with all fields, or with only the required ones."""
        return self._make(inspect.type_info(kind), all_fields)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _make(self, info: inspect.Type, all_fields: bool = True) -> Any:
        match info:
            case inspect.StructType():
                fields = [field for field in info.fields if all_fields or field.required]
                return info.cls(*(self._make(field.type) for field in fields))
            case inspect.EnumType():
                members = list(info.cls)
                return members[self._variant % len(members)]
            case inspect.UnionType():
                return self._make(info.types[self._variant % len(info.types)])
            case inspect.DictType():
                return {self._make(info.key_type): self._make(info.value_type) for _ in range(2)}
            case inspect.TupleType():
                return tuple(self._make(item) for item in info.item_types)
            case inspect.VarTupleType():
                return tuple(self._make(info.item_type) for _ in range(2))
            case inspect.ListType():
                return [self._make(info.item_type) for _ in range(2)]
        return self._make_scalar(info)

    def _make_scalar(self, info: inspect.Type) -> Any:
        number = self._next_number()
        match info:
            case inspect.NoneType():
                return None
            case inspect.BoolType():
                return bool((number + self._variant) % 2)
            case inspect.IntType():
                return number
            case inspect.FloatType():
                return number + 0.5
            case inspect.StrType():
                return f"w{number}"
            case inspect.BytesType():
                return f"b{number}".encode()
        raise AssertionError(f"no sample of {info}")


def make_samples(kind: Any) -> list[Any]:
    """Make one value with only the required fields, and three values with all fields."""
    return [
        SampleFactory(0).make(kind, all_fields=False),
        *(SampleFactory(variant).make(kind, all_fields=True) for variant in range(3)),
    ]


def form_and_samples(
    kind: Any, encode: Callable[[Any], bytes], decode: Callable[[bytes], Any]
) -> dict[str, Any]:
    """Return the form of a type and its encoded samples, after decoding and encoding each sample again."""
    encoded_samples = []
    for sample in make_samples(kind):
        data = encode(sample)
        assert decode(data) == sample and encode(decode(data)) == data
        encoded_samples.append(data.hex())
    return {"form": encoded_form(kind), "samples": list(dict.fromkeys(encoded_samples))}
