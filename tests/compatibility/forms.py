"""The form of a value as it is on the wire, and samples of it, worked out from its type alone."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import inspect


def form(kind: Any) -> Any:
    """Tag, order or names of fields as encoded, their types, and the values of Enums."""
    return _form(inspect.type_info(kind))


def _form(info: inspect.Type) -> Any:
    match info:
        case inspect.StructType():
            return _struct(info)
        case inspect.EnumType():
            return {"one of": [one.value for one in info.cls]}
        case inspect.UnionType():
            return {"either": [_form(one) for one in info.types]}
        case inspect.DictType():
            return {"by": _form(info.key_type), "of": _form(info.value_type)}
        case inspect.TupleType():
            return {"tuple": [_form(one) for one in info.item_types]}
        case inspect.VarTupleType() | inspect.ListType():
            return {"list": _form(info.item_type)}
    return type(info).__name__.removesuffix("Type").lower()


def _struct(info: inspect.StructType) -> dict[str, Any]:
    config = info.cls.__struct_config__
    fields = [[one.encode_name, _form(one.type), *_default(one)] for one in info.fields]
    if info.array_like:  # only their order counts
        fields = [one[1:] for one in fields]
    return {
        "tag": info.tag,
        "array": info.array_like,
        "leaves out defaults": config.omit_defaults,
        "refuses unknown": info.forbid_unknown_fields,
        "fields": fields,
    }


def _default(field: inspect.Field) -> list[Any]:
    """Nothing, where the field is required."""
    if field.required:
        return []
    made = field.default_factory is not msgspec.NODEFAULT
    return [{"default": msgspec.to_builtins(field.default_factory() if made else field.default)}]


class Samples:
    """Makes values in a fixed order of figures and words. `variant`: which member of a union or Enum is taken."""

    def __init__(self, variant: int) -> None:
        self._variant, self._last = variant, 0

    def of(self, kind: Any, whole: bool) -> Any:
        """With all fields, or with those alone that are required."""
        return self._make(inspect.type_info(kind), whole)

    def _next(self) -> int:
        self._last += 1
        return self._last

    def _make(self, info: inspect.Type, whole: bool = True) -> Any:
        match info:
            case inspect.StructType():
                fields = [one for one in info.fields if whole or one.required]
                return info.cls(*(self._make(one.type) for one in fields))
            case inspect.EnumType():
                members = list(info.cls)
                return members[self._variant % len(members)]
            case inspect.UnionType():
                return self._make(info.types[self._variant % len(info.types)])
            case inspect.DictType():
                return {self._make(info.key_type): self._make(info.value_type) for _ in range(2)}
            case inspect.TupleType():
                return tuple(self._make(one) for one in info.item_types)
            case inspect.VarTupleType():
                return tuple(self._make(info.item_type) for _ in range(2))
            case inspect.ListType():
                return [self._make(info.item_type) for _ in range(2)]
        return self._plain(info)

    def _plain(self, info: inspect.Type) -> Any:
        number = self._next()
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


def samples(kind: Any) -> list[Any]:
    """One with what is required alone, and three with everything."""
    return [
        Samples(0).of(kind, whole=False),
        *(Samples(variant).of(kind, whole=True) for variant in range(3)),
    ]


def told(kind: Any, encode: Callable[[Any], bytes], decode: Callable[[bytes], Any]) -> dict[str, Any]:
    """The form of a type and its samples as bytes, each of which has been read and written again."""
    written = []
    for sample in samples(kind):
        data = encode(sample)
        assert decode(data) == sample and encode(decode(data)) == data
        written.append(data.hex())
    return {"form": form(kind), "samples": list(dict.fromkeys(written))}
