"""Tests of the catalogue follower: versions and offers of other entries."""

import zlib

from mulberryloom_core import exceptions
from mulberryloom_core.version import catalogue as catalogues
from mulberryloom_entry.jobs import catalogue_follower
import orjson
from result import Err
from result import Ok


class VersionedSource:
    """Source that reads only the version of a document."""

    key = 'config'

    def decode(self, document):
        try:
            version = orjson.loads(document)['version']
        except (ValueError, KeyError, TypeError) as problem:
            kind = exceptions.ErrorKind.MALFORMED_REQUEST
            return Err(exceptions.Error.from_kind(kind, str(problem)))
        return Ok(catalogues.Catalogue.from_parts(version, [], [], []))


def _make_follower():
    versions = []
    follower = catalogue_follower.CatalogueFollower(
        VersionedSource(),
        None,
        lambda catalogue: versions.append(catalogue.version),
    )
    return follower, versions


def _document(version, routes=0):
    names = [f'route-{number}.example/prefix' for number in range(routes)]
    return orjson.dumps({'version': version, 'routes': names})


def test_large_document_is_compressed_for_other_entries():
    follower, _ = _make_follower()
    document = _document(3, 2_000)
    follower.offer(document, 'store')
    assert len(follower.compress_document()) < len(document) // 5
    other, versions = _make_follower()
    other.offer_compressed(follower.compress_document(), 'entry-1')
    assert versions == [3]
    assert other.compress_document() == follower.compress_document()


def test_compressed_document_is_the_version_in_force():
    follower, _ = _make_follower()
    for version in (3, 5, 4):
        follower.offer(_document(version), 'store')
        follower.compress_document()
    other, versions = _make_follower()
    other.offer_compressed(follower.compress_document(), 'entry-1')
    assert versions == [5]


def test_offer_of_undecodable_document_is_ignored():
    follower, versions = _make_follower()
    complete = zlib.compress(_document(7))
    for compressed in (b'', b'{"version": 9}', complete[:-6], b'\x00\xff'):
        follower.offer_compressed(compressed, 'entry-1')
    assert versions == []
    assert follower.version == -1


def test_offer_of_oversized_document_is_ignored(monkeypatch):
    monkeypatch.setattr(catalogue_follower, 'MAX_DOCUMENT_BYTES', 100)
    follower, versions = _make_follower()
    follower.offer_compressed(zlib.compress(_document(3, 50)), 'entry-1')
    assert versions == []
