"""Conversion between message dataclasses and Cap'n Proto structs.

The converter of a class is built once, from its type hints and the struct
of the same name in the schema, and cached.
"""

import dataclasses
import enum
import functools
import types
import typing as t

import capnp
from result import Err
from result import Ok
from result import Result

from .. import messages
from .. import schema
from . import control
from ..exceptions import Error
from ..exceptions import ErrorKind

#: Messages that an envelope can carry.
Payload: t.TypeAlias = control.Control | messages.Message

PAYLOAD_CLASSES: tuple[type, ...] = (
    *t.get_args(control.Control),
    *t.get_args(messages.Message),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """Content of one frame: a message and its header fields.

    :param message_id: sequence number of the message in its session; ``0``
        for an unnumbered message, which is neither acknowledged nor
        retransmitted.
    :param ack_id: highest sequence number that the sender has received.
    :param incarnation: incarnation of the sender.
    """

    message_id: int
    ack_id: int
    incarnation: int
    message: Payload


@dataclasses.dataclass(frozen=True, slots=True)
class _StructConverter:
    """Writes instances of a dataclass to a struct, and reads them back."""

    write: t.Callable[[t.Any, t.Any], None]
    read: t.Callable[[t.Any], t.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class _ValueConverter:
    """Converts one value to its pycapnp representation, and back."""

    to_capnp: t.Callable[[t.Any], t.Any]
    from_capnp: t.Callable[[t.Any], t.Any]


def encode(envelope: Envelope) -> Result[bytes, Error]:
    """Return the packed bytes of an envelope.

    :return: the bytes, or an error of kind ``INTERNAL`` when a value has
        no wire format, such as an integer of more than 64 bits.
    """
    message_class = type(envelope.message)
    try:
        builder = schema.module.Envelope.new_message()
        builder.messageId = envelope.message_id
        builder.ackId = envelope.ack_id
        builder.incarnation = envelope.incarnation
        struct = builder.init(struct_name(message_class))
        _struct_converter(message_class).write(struct, envelope.message)
        return Ok(builder.to_bytes_packed())
    except (capnp.KjException, ValueError, OverflowError) as error:
        detail = f'cannot encode {message_class.__name__}: {error}'
        return Err(Error.from_kind(ErrorKind.INTERNAL, detail))


def decode(payload: bytes) -> Result[Envelope, Error]:
    """Read an envelope.

    :return: the envelope, or an error of kind ``BAD_FRAME``.
    """
    try:
        reader = schema.module.Envelope.from_bytes_packed(payload)
        name = str(reader.which())
        message_class = _class_by_struct_name()[name]
        message = _struct_converter(message_class).read(getattr(reader, name))
        envelope = Envelope(
            reader.messageId, reader.ackId, reader.incarnation, message
        )
    except (capnp.KjException, KeyError, ValueError) as error:
        detail = f'undecodable message: {type(error).__name__}'
        return Err(Error.from_kind(ErrorKind.BAD_FRAME, detail))
    return Ok(envelope)


def camel_case(name: str) -> str:
    """Return a snake-case name in the camel case of the schema."""
    head, *rest = name.lower().split('_')
    return head + ''.join(part.title() for part in rest)


def struct_name(message_class: type) -> str:
    """Return the field name of a message in the union of the envelope."""
    name = message_class.__name__
    return name[0].lower() + name[1:]


@functools.cache
def _class_by_struct_name() -> dict[str, type]:
    return {struct_name(cls): cls for cls in PAYLOAD_CLASSES}


@functools.cache
def _struct_converter(cls: type) -> _StructConverter:
    struct = getattr(schema.module, cls.__name__).schema
    hint_by_name = t.get_type_hints(cls)
    writers = []
    readers = []
    for field in dataclasses.fields(cls):
        schema_field = struct.fields[camel_case(field.name)]
        hint = hint_by_name[field.name]
        writers.append((field.name, _field_writer(schema_field, hint)))
        readers.append(_field_reader(schema_field, hint))

    def write(builder, value):
        for name, set_value in writers:
            item = getattr(value, name)
            # Zero and empty values are the defaults of the wire format.
            if item:
                set_value(builder, item)

    def read(reader):
        return cls(*[read_field(reader) for read_field in readers])

    return _StructConverter(write, read)


def _field_writer(schema_field, hint) -> t.Callable[[t.Any, t.Any], None]:
    """Return a function that sets one field of a struct builder."""
    hint, _ = _split_optional(hint)
    if dataclasses.is_dataclass(hint):
        nested = _struct_converter(hint)

        def set_struct(builder, value):
            nested.write(builder._init_by_field(schema_field), value)

        return set_struct
    if t.get_origin(hint) is list:
        return _list_writer(schema_field, t.get_args(hint)[0])
    to_capnp = _value_converter(hint).to_capnp
    if to_capnp is _unchanged:
        return lambda builder, value: builder._set_by_field(
            schema_field, value
        )

    def set_value(builder, value):
        builder._set_by_field(schema_field, to_capnp(value))

    return set_value


def _list_writer(schema_field, item_hint) -> t.Callable[[t.Any, t.Any], None]:
    name = schema_field.proto.name
    if dataclasses.is_dataclass(item_hint):
        nested = _struct_converter(item_hint)

        def set_structs(builder, values):
            for item, value in zip(
                builder.init(name, len(values)), values, strict=True
            ):
                nested.write(item, value)

        return set_structs
    to_capnp = _value_converter(item_hint).to_capnp

    def set_list(builder, values):
        target = builder.init(name, len(values))
        for index, value in enumerate(values):
            target[index] = to_capnp(value)

    return set_list


def _field_reader(schema_field, hint) -> t.Callable[[t.Any], t.Any]:
    """Return a function that reads one field from a struct reader."""
    hint, is_optional = _split_optional(hint)
    if dataclasses.is_dataclass(hint):
        nested = _struct_converter(hint)
        if is_optional:
            return lambda reader: (
                nested.read(reader._get_by_field(schema_field))
                if reader._has_by_field(schema_field)
                else None
            )
        return lambda reader: nested.read(reader._get_by_field(schema_field))
    if t.get_origin(hint) is list:
        from_capnp = _list_item_reader(t.get_args(hint)[0])
        return lambda reader: [
            from_capnp(item) for item in reader._get_by_field(schema_field)
        ]
    from_capnp = _value_converter(hint).from_capnp
    if from_capnp is _unchanged:
        return lambda reader: reader._get_by_field(schema_field)
    return lambda reader: from_capnp(reader._get_by_field(schema_field))


def _list_item_reader(hint) -> t.Callable[[t.Any], t.Any]:
    if dataclasses.is_dataclass(hint):
        return _struct_converter(hint).read
    return _value_converter(hint).from_capnp


def _split_optional(hint) -> tuple[t.Any, bool]:
    """Return the type without ``None``, and whether it allowed ``None``.

    Only structs can be absent on the wire.

    :raises TypeError: for other unions.
    """
    if not isinstance(hint, types.UnionType):
        return hint, False
    member_types = [
        member_type
        for member_type in t.get_args(hint)
        if member_type is not types.NoneType
    ]
    if len(member_types) != 1 or not dataclasses.is_dataclass(member_types[0]):
        raise TypeError(f'no wire format for the type {hint}')
    return member_types[0], True


def _value_converter(hint) -> _ValueConverter:
    if hint in (int, float, bool, str, bytes):
        return _ValueConverter(_unchanged, _unchanged)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _enum_converter(hint)
    raise TypeError(f'no wire format for the type {hint}')


def _enum_converter(cls: type[enum.Enum]) -> _ValueConverter:
    number_by_name = getattr(schema.module, cls.__name__).schema.enumerants
    number_by_member = {
        member: number_by_name[camel_case(member.name)] for member in cls
    }
    member_by_number = {
        number: member for member, number in number_by_member.items()
    }
    return _ValueConverter(
        number_by_member.__getitem__,
        lambda value: member_by_number[value.raw],
    )


def _unchanged(value):
    return value
