"""Configuration in force at an entry, from the store or from other entries.

A catalogue is one version of the configuration with its indexes. The version
in force only increases.
"""

import asyncio
import typing as t
import zlib

from mulberryloom_core import exceptions
from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
from result import Result
import structlog

#: Timeout of one watch call. A silent connection is noticed after it, well
#: within the time allowed for a new version to come into force.
WATCH_TIMEOUT_MS = 1_500
#: Pause before a failed store call is retried.
RETRY_PAUSE_MS = 200
#: Largest uncompressed document that is accepted from another entry.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
#: The fastest zlib level; it suffices, since routes resemble each other.
_COMPRESSION_LEVEL = 1
_MS_PER_S = 1_000

_log = structlog.get_logger(__name__)


class CatalogueSource(t.Protocol):
    """Location and format of the configuration in the store."""

    @property
    def key(self) -> str:
        """Key of the configuration in the store."""

    def decode(
        self, document: bytes
    ) -> Result[catalogues.Catalogue, exceptions.Error]:
        """Decode the document of one version."""


class CatalogueFeed(t.Protocol):
    """Supplies an entry with the configuration in force."""

    @property
    def catalogue(self) -> catalogues.Catalogue | None:
        """The configuration in force; ``None`` before the first."""

    @property
    def version(self) -> int:
        """Version in force; ``-1`` before the first."""

    async def run(self) -> None:
        """Load newer versions until cancelled."""

    def compress_document(self) -> bytes:
        """Return the document in force for other entries, compressed.

        :return: empty if this feed shares nothing.
        """

    def offer_compressed(self, compressed: bytes, source: str) -> None:
        """Offer the result of another entry's :meth:`compress_document`.

        :param source: name of the other entry, for the log.
        """


#: Builds a feed from the store and a callback for newer versions.
FeedFactory: t.TypeAlias = t.Callable[
    [store.Store, t.Callable[[catalogues.Catalogue], None]], CatalogueFeed
]


class CatalogueFollower:
    """Feed that watches the store and accepts documents of other entries.

    :param source: location and format of the configuration.
    :param config_store: store that holds the configuration.
    :param on_change: called with each newer version.
    """

    def __init__(
        self,
        source: CatalogueSource,
        config_store: store.Store,
        on_change: t.Callable[[catalogues.Catalogue], None],
    ) -> None:
        self._source = source
        self._store = config_store
        self._on_change = on_change
        self.catalogue: catalogues.Catalogue | None = None
        self._document = b''
        self._compressed_document: bytes | None = None

    @property
    def version(self) -> int:
        """Version in force; ``-1`` before the first."""
        return -1 if self.catalogue is None else self.catalogue.version

    def compress_document(self) -> bytes:
        """Return the document in force for other entries, compressed.

        Over the slow links of some entries, a large uncompressed document
        would take longer than a new version may take to come into force.
        """
        if self._compressed_document is None:
            self._compressed_document = zlib.compress(
                self._document, _COMPRESSION_LEVEL
            )
        return self._compressed_document

    def offer_compressed(self, compressed: bytes, source: str) -> None:
        """Offer the result of another entry's :meth:`compress_document`.

        :param source: name of the other entry, for the log.
        """
        decompressor = zlib.decompressobj()
        try:
            document = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
        except zlib.error as problem:
            _log.error(
                'configuration unreadable', source=source, reason=str(problem)
            )
            return
        if not decompressor.eof:
            _log.error(
                'configuration unreadable',
                source=source,
                reason=f'truncated or larger than {MAX_DOCUMENT_BYTES} bytes',
            )
            return
        self.offer(document, source)

    async def run(self) -> None:
        """Follow the configuration in the store until cancelled."""
        while True:
            revision = await self._read_current()
            while revision is not None:
                revision = await self._watch_changes(revision)
            await asyncio.sleep(RETRY_PAUSE_MS / _MS_PER_S)

    def offer(self, document: bytes, source: str) -> None:
        """Put a document into force if its version is newer.

        :param source: origin of the document, for the log.
        """
        decoded = self._source.decode(document)
        if decoded.is_err():
            _log.error(
                'configuration unreadable',
                source=source,
                reason=decoded.unwrap_err().detail,
            )
            return
        catalogue = decoded.unwrap()
        if catalogue.version <= self.version:
            return
        _log.info(
            'configuration in force',
            version=catalogue.version,
            previous=self.version,
            queues=len(catalogue.queue_by_name),
            keys=len(catalogue.account_name_by_key),
            source=source,
        )
        self.catalogue = catalogue
        self._document = document
        self._compressed_document = None
        self._on_change(catalogue)

    async def _read_current(self) -> int | None:
        """Read the current configuration.

        :return: revision of the store; ``None`` on failure.
        """
        answer = await self._store.call(store.GetKey(self._source.key))
        if answer.is_err():
            return None
        reply = answer.unwrap()
        self._offer_entries(reply)
        return reply.revision

    async def _watch_changes(self, revision: int) -> int | None:
        """Wait for a change after a revision.

        :return: revision for the next watch; ``None`` on failure.
        """
        request = store.WatchPrefix(
            self._source.key, revision, WATCH_TIMEOUT_MS
        )
        answer = await self._store.call(request)
        if answer.is_err():
            return None
        reply = answer.unwrap()
        self._offer_entries(reply)
        return reply.revision

    def _offer_entries(self, reply: store.Entries) -> None:
        for entry in reply.entries:
            if entry.key == self._source.key and entry.value:
                self.offer(entry.value, 'store')
