"""Tests of how a configuration reaches an entry."""

import zlib

from mulberryloom_core import exceptions
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_entry.jobs import catalogue_follower
import orjson
from result import Err
from result import Ok


class Source:
    """Documents that name a version."""

    key = 'config'

    def decode(self, document):
        try:
            version = orjson.loads(document)['version']
        except (ValueError, KeyError, TypeError) as problem:
            kind = exceptions.ErrorKind.MALFORMED_REQUEST
            return Err(exceptions.Error.from_kind(kind, str(problem)))
        return Ok(catalogues.Catalogue.from_parts(version, [], [], []))


def _follower():
    seen = []
    follower = catalogue_follower.CatalogueFollower(
        Source(), None, lambda found: seen.append(found.version)
    )
    return follower, seen


def _document(version, routes=0):
    names = [f'route-{number}.example/prefix' for number in range(routes)]
    return orjson.dumps({'version': version, 'routes': names})


def test_a_large_configuration_is_handed_on_small():
    follower, _ = _follower()
    document = _document(3, 2_000)
    follower.offer(document, 'store')
    assert len(follower.pack()) < len(document) // 5
    other, seen = _follower()
    other.offer_packed(follower.pack(), 'entry-1')
    assert seen == [3]
    assert other.pack() == follower.pack()


def test_what_is_handed_on_is_the_version_in_force():
    follower, _ = _follower()
    for version in (3, 5, 4):
        follower.offer(_document(version), 'store')
        follower.pack()
    other, seen = _follower()
    other.offer_packed(follower.pack(), 'entry-1')
    assert seen == [5]


def test_what_cannot_be_unpacked_changes_nothing():
    follower, seen = _follower()
    whole = zlib.compress(_document(7))
    for packed in (b'', b'{"version": 9}', whole[:-6], b'\x00\xff'):
        follower.offer_packed(packed, 'entry-1')
    assert seen == []
    assert follower.version == -1


def test_a_document_beyond_the_bound_is_not_taken(monkeypatch):
    monkeypatch.setattr(catalogue_follower, 'MAX_DOCUMENT_BYTES', 100)
    follower, seen = _follower()
    follower.offer_packed(zlib.compress(_document(3, 50)), 'entry-1')
    assert seen == []
