"""Conversion of configuration objects to JSON values and back.

Enum members are encoded as their lower-case names. A field such as
``methods_by_name`` is encoded under the key ``methods``; the objects in it
have no ``name``, since that is their key.
"""

import dataclasses
import enum
import functools
import typing as t

_BY_NAME = '_by_name'

Json: t.TypeAlias = t.Any


def encode(value: t.Any) -> Json:
    """Return a dataclass, list, enum member or scalar as a JSON value."""
    if isinstance(value, enum.Enum):
        return value.name.lower()
    if isinstance(value, list):
        return [encode(item) for item in value]
    if not dataclasses.is_dataclass(value):
        return value
    json_object = {}
    for field in dataclasses.fields(value):
        item = getattr(value, field.name)
        if field.name.endswith(_BY_NAME):
            key = field.name.removesuffix(_BY_NAME)
            json_object[key] = encode_by_name(item)
        else:
            json_object[field.name] = encode(item)
    return json_object


def encode_by_name(objects: dict[str, t.Any]) -> dict[str, Json]:
    """Return objects by name as a JSON value; a removed one is ``null``."""
    json_object = {}
    for name, item in sorted(objects.items()):
        json_object[name] = encode(item)
        if item is not None:
            del json_object[name]['name']
    return json_object


def decode(hint: t.Any, value: Json, **extra: t.Any) -> t.Any:
    """Build an object of a type from a JSON value.

    :param hint: type annotation of the object.
    :param extra: fields that are not in ``value``.
    :raises KeyError, TypeError, ValueError: if ``value`` does not match
        the type.
    """
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return hint[value.upper()]
    if t.get_origin(hint) is list:
        item_hint = t.get_args(hint)[0]
        return [decode(item_hint, item) for item in value]
    if not dataclasses.is_dataclass(hint):
        return hint(value)
    field_values = dict(extra)
    for name, field_hint in _hints(hint).items():
        key = name.removesuffix(_BY_NAME)
        if key not in value:
            continue
        if key != name:
            item_hint = t.get_args(field_hint)[1]
            field_values[name] = decode_by_name(item_hint, value[key])
        else:
            field_values[name] = decode(field_hint, value[key])
    return hint(**field_values)


def decode_by_name(hint: t.Any, value: Json, **extra: t.Any) -> dict:
    """Build objects by name from a JSON object; ``null`` gives ``None``."""
    return {
        name: None if item is None else decode(hint, item, name=name, **extra)
        for name, item in value.items()
    }


@functools.cache
def _hints(cls: type) -> dict[str, t.Any]:
    return t.get_type_hints(cls)
