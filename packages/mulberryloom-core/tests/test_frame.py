"""Tests of framing under torn, corrupted and truncated streams."""

import hypothesis
from hypothesis import strategies

from mulberryloom_core.connection import frame
from mulberryloom_core import exceptions

SETTINGS = hypothesis.settings(derandomize=True, deadline=None)
PAYLOADS = strategies.lists(strategies.binary(max_size=60), max_size=6)


def pieces(stream, cuts):
    """Cut a stream at the given positions, in order."""
    edges = [0, *sorted(cut % (len(stream) + 1) for cut in cuts), len(stream)]
    return [
        stream[start:end] for start, end in zip(edges, edges[1:], strict=False)
    ]


def decode(chunks, limit=1_000):
    """Return the payloads that come whole, and the error, if any."""
    decoder = frame.Decoder(limit)
    results = [result for chunk in chunks for result in decoder.feed(chunk)]
    whole = [result.unwrap() for result in results if result.is_ok()]
    errors = [result.unwrap_err() for result in results if result.is_err()]
    return whole, errors


@SETTINGS
@hypothesis.given(
    payloads=PAYLOADS, cuts=strategies.lists(strategies.integers(0, 500))
)
def test_torn_frames_come_whole(payloads, cuts):
    stream = b''.join(frame.encode(payload) for payload in payloads)
    assert decode(pieces(stream, cuts)) == (payloads, [])


@SETTINGS
@hypothesis.given(payloads=PAYLOADS, kept=strategies.integers(0, 500))
def test_truncated_stream_yields_only_whole_frames(payloads, kept):
    stream = b''.join(frame.encode(payload) for payload in payloads)
    whole, errors = decode([stream[:kept]])
    ends = []
    end = 0
    for payload in payloads:
        end += frame.HEADER_BYTES + len(payload)
        ends.append(end)
    assert whole == payloads[: sum(end <= kept for end in ends)]
    assert errors == []


@SETTINGS
@hypothesis.given(
    payloads=PAYLOADS.filter(bool),
    position=strategies.integers(0, 500),
    mask=strategies.integers(1, 255),
)
def test_corrupted_byte_never_yields_other_payloads(payloads, position, mask):
    stream = bytearray(b''.join(frame.encode(item) for item in payloads))
    stream[position % len(stream)] ^= mask
    whole, errors = decode([bytes(stream)])
    assert whole == payloads[: len(whole)]
    assert len(whole) < len(payloads)
    assert len(errors) <= 1
    for error in errors:
        assert error.kind is exceptions.ErrorKind.BAD_FRAME


def test_frame_over_the_limit_is_refused_from_its_head():
    head = frame.encode(bytes(1_001))[: frame.HEADER_BYTES]
    whole, errors = decode([head])
    assert whole == []
    assert [error.kind for error in errors] == [exceptions.ErrorKind.BAD_FRAME]


def test_nothing_is_read_after_an_error():
    decoder = frame.Decoder(10)
    assert len(list(decoder.feed(frame.encode(bytes(11))))) == 1
    assert list(decoder.feed(frame.encode(b'good'))) == []
