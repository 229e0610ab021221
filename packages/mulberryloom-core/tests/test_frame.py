"""Tests of the frame decoder on split, corrupted and truncated streams."""

import hypothesis
from hypothesis import strategies

from mulberryloom_core.connection import frame
from mulberryloom_core import exceptions

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
PAYLOADS = strategies.lists(strategies.binary(max_size=60), max_size=6)


def split_at(stream, cuts):
    """Split a stream at the given positions, modulo its length."""
    edges = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    return [
        stream[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]


def decode(chunks, limit=1_000):
    """Return the decoded payloads, and the errors: one at most."""
    decoder = frame.Decoder(limit)
    results = [result for chunk in chunks for result in decoder.feed(chunk)]
    complete = [result.unwrap() for result in results if result.is_ok()]
    errors = [result.unwrap_err() for result in results if result.is_err()]
    return complete, errors


@SETTINGS
@hypothesis.given(
    payloads=PAYLOADS, cuts=strategies.lists(strategies.integers(0, 500))
)
def test_decoder_reassembles_split_frames(payloads, cuts):
    stream = b''.join(frame.encode(payload) for payload in payloads)
    assert decode(split_at(stream, cuts)) == (payloads, [])


@SETTINGS
@hypothesis.given(payloads=PAYLOADS, prefix_length=strategies.integers(0, 500))
def test_decoder_yields_complete_frames_of_truncated_stream(
    payloads, prefix_length
):
    stream = b''.join(frame.encode(payload) for payload in payloads)
    complete, errors = decode([stream[:prefix_length]])
    ends = []
    end = 0
    for payload in payloads:
        end += frame.HEADER_BYTES + len(payload)
        ends.append(end)
    assert complete == payloads[: sum(end <= prefix_length for end in ends)]
    assert errors == []


@SETTINGS
@hypothesis.given(
    payloads=PAYLOADS.filter(bool),
    position=strategies.integers(0, 500),
    mask=strategies.integers(1, 255),
)
def test_decoder_yields_no_payload_from_corrupted_byte_on(
    payloads, position, mask
):
    stream = bytearray(b''.join(frame.encode(item) for item in payloads))
    stream[position % len(stream)] ^= mask
    complete, errors = decode([bytes(stream)])
    assert complete == payloads[: len(complete)]
    assert len(complete) < len(payloads)
    assert len(errors) <= 1
    for error in errors:
        assert error.kind is exceptions.ErrorKind.BAD_FRAME


def test_decoder_refuses_oversized_frame_from_header_alone():
    header = frame.encode(bytes(1_001))[: frame.HEADER_BYTES]
    complete, errors = decode([header])
    assert complete == []
    assert [error.kind for error in errors] == [exceptions.ErrorKind.BAD_FRAME]


def test_decoder_ignores_bytes_after_an_error():
    decoder = frame.Decoder(10)
    assert len(list(decoder.feed(frame.encode(bytes(11))))) == 1
    assert list(decoder.feed(frame.encode(b'good'))) == []
