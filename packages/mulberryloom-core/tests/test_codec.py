"""Tests of the wire schema and of the codec that encodes messages."""

import dataclasses
import enum
import types
import typing as t

import hypothesis
from hypothesis import strategies
import pytest

from mulberryloom_core.connection import codec
from mulberryloom_core import exceptions
from mulberryloom_core import messages
from mulberryloom_core import schema

TYPE_NAME_BY_HINT = {
    int: 'int64',
    float: 'float64',
    bool: 'bool',
    str: 'text',
    bytes: 'data',
}
INT64 = strategies.integers(-(2**63), 2**63 - 1)
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=25
)

strategies.register_type_strategy(int, INT64)
strategies.register_type_strategy(
    float, strategies.floats(allow_nan=False, width=64)
)


def reachable_types(classes):
    """Return the classes and all dataclasses and enums of their fields."""
    seen = {}
    pending = list(classes)
    while pending:
        cls = pending.pop()
        if cls in seen:
            continue
        seen[cls] = True
        if dataclasses.is_dataclass(cls):
            for hint in t.get_type_hints(cls).values():
                pending.extend(own_types(hint))
    return sorted(seen, key=lambda cls: cls.__name__)


def own_types(hint):
    """Return the dataclasses and enums in a type hint."""
    if t.get_origin(hint) in (list, t.Union, types.UnionType):
        return [
            own_type for arg in t.get_args(hint) for own_type in own_types(arg)
        ]
    is_own = dataclasses.is_dataclass(hint) or (
        isinstance(hint, type) and issubclass(hint, enum.Enum)
    )
    return [hint] if is_own else []


def type_name(slot_type):
    """Return a schema type in the notation of :func:`hint_name`."""
    kind = slot_type.which()
    if kind == 'list':
        return f'list of {type_name(slot_type.list.elementType)}'
    if kind in ('struct', 'enum'):
        return f'{kind} {getattr(slot_type, str(kind)).typeId}'
    return str(kind)


def hint_name(hint):
    """Return the schema type expected for a type hint."""
    if isinstance(hint, types.UnionType):
        hint = t.get_args(hint)[0]
    if t.get_origin(hint) is list:
        return f'list of {hint_name(t.get_args(hint)[0])}'
    if hint in TYPE_NAME_BY_HINT:
        return TYPE_NAME_BY_HINT[hint]
    kind = 'enum' if issubclass(hint, enum.Enum) else 'struct'
    struct = getattr(schema.module, hint.__name__)
    return f'{kind} {struct.schema.node.id}'


@pytest.mark.parametrize(
    'cls', reachable_types(codec.PAYLOAD_CLASSES), ids=lambda cls: cls.__name__
)
def test_schema_struct_matches_message_class(cls):
    node = getattr(schema.module, cls.__name__).schema
    if issubclass(cls, enum.Enum):
        assert list(node.enumerants) == [
            codec.camel_case(member.name) for member in cls
        ]
        return
    hints = t.get_type_hints(cls)
    assert {
        name: type_name(field.proto.slot.type)
        for name, field in node.fields.items()
    } == {codec.camel_case(name): hint_name(h) for name, h in hints.items()}


def test_schema_envelope_contains_every_message():
    assert set(schema.module.Envelope.schema.union_fields) == {
        codec.struct_name(cls) for cls in codec.PAYLOAD_CLASSES
    }


@pytest.mark.parametrize(
    'cls', codec.PAYLOAD_CLASSES, ids=lambda cls: cls.__name__
)
def test_codec_round_trip_preserves_message(cls):
    @SETTINGS
    @hypothesis.given(message=strategies.from_type(cls), number=INT64)
    def check(message, number):
        envelope = codec.Envelope(number, 7, 9, message)
        decoded = codec.decode(codec.encode(envelope).unwrap()).unwrap()
        assert decoded == envelope

    check()


def test_codec_distinguishes_absent_and_empty_structs():
    first_kind = exceptions.ErrorKind.MALFORMED_REQUEST
    for error in (None, exceptions.Error(first_kind)):
        outcome = messages.Outcome(error=error, status=0)
        envelope = codec.Envelope(1, 0, 1, messages.WorkEnded('r', outcome))
        decoded = codec.decode(codec.encode(envelope).unwrap()).unwrap()
        assert decoded.message.outcome.error == error


@hypothesis.settings(SETTINGS, max_examples=300)
@hypothesis.given(payload=strategies.binary(max_size=200))
def test_decode_random_bytes_returns_message_or_bad_frame(payload):
    result = codec.decode(payload)
    if result.is_err():
        assert result.unwrap_err().kind is exceptions.ErrorKind.BAD_FRAME
