"""The configuration in force at an entry; it never goes back."""

import asyncio
import typing as t
import zlib

from mulberryloom_core import exceptions
from mulberryloom_core import store
from mulberryloom_core.version import catalogue as catalogues
from result import Result
import structlog

#: Longest wait of one watch; a connection that has fallen silent is noticed
#: after it, well within the time in which a version has to be in force.
WATCH_MS = 1_500
#: Pause after a failed call.
RETRY_PAUSE_MS = 200
#: Largest document that is taken from another entry.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
#: The quickest level; routes repeat each other.
_PACK_LEVEL = 1
_MS_PER_S = 1_000

_log = structlog.get_logger(__name__)


class CatalogueSource(t.Protocol):
    """Where the configuration stands, and how it is read."""

    @property
    def key(self) -> str:
        """Key in the store."""

    def decode(
        self, document: bytes
    ) -> Result[catalogues.Catalogue, exceptions.Error]:
        """Read one version."""


class CatalogueFeed(t.Protocol):
    """The configuration in force at an entry, and how it gets there."""

    @property
    def catalogue(self) -> catalogues.Catalogue | None:
        """The version in force, once there is one."""

    @property
    def version(self) -> int:
        """Version in force; ``-1`` before the first."""

    async def run(self) -> None:
        """Bring in newer versions for ever."""

    def pack(self) -> bytes:
        """Return what other entries may take over; empty for nothing."""

    def offer_packed(self, packed: bytes, source: str) -> None:
        """Take in what another entry's :meth:`pack` returned."""


#: Builds a feed from the store and from who is told of newer versions.
MakeFeed: t.TypeAlias = t.Callable[
    [store.Store, t.Callable[[catalogues.Catalogue], None]], CatalogueFeed
]


class CatalogueFollower:
    """Follows the configuration in the store and from other entries.

    :param source: where it stands.
    :param config_store: the store.
    :param on_change: told of each newer version.
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
        self._packed: bytes | None = None

    @property
    def version(self) -> int:
        """Version in force; ``-1`` before the first."""
        return -1 if self.catalogue is None else self.catalogue.version

    def pack(self) -> bytes:
        """Return the document in force for another entry, compressed.

        Some entries have links on which a large document takes longer
        than a version may take to be in force.
        """
        if self._packed is None:
            self._packed = zlib.compress(self._document, _PACK_LEVEL)
        return self._packed

    def offer_packed(self, packed: bytes, source: str) -> None:
        """Take in what another entry's :meth:`pack` returned."""
        reader = zlib.decompressobj()
        try:
            document = reader.decompress(packed, MAX_DOCUMENT_BYTES)
        except zlib.error as problem:
            _log.error(
                'configuration unreadable', source=source, reason=str(problem)
            )
            return
        if not reader.eof:
            _log.error(
                'configuration unreadable',
                source=source,
                reason=f'over {MAX_DOCUMENT_BYTES} bytes, or cut off',
            )
            return
        self.offer(document, source)

    async def run(self) -> None:
        """Follow the store for ever."""
        while True:
            revision = await self._read()
            while revision is not None:
                revision = await self._watch(revision)
            await asyncio.sleep(RETRY_PAUSE_MS / _MS_PER_S)

    def offer(self, document: bytes, source: str) -> None:
        """Take in a document; an older version changes nothing."""
        decoded = self._source.decode(document)
        if decoded.is_err():
            _log.error(
                'configuration unreadable',
                source=source,
                reason=decoded.unwrap_err().detail,
            )
            return
        found = decoded.unwrap()
        if found.version <= self.version:
            return
        _log.info(
            'configuration in force',
            version=found.version,
            previous=self.version,
            queues=len(found.queue_by_name),
            keys=len(found.account_name_by_key),
            source=source,
        )
        self.catalogue = found
        self._document = document
        self._packed = None
        self._on_change(found)

    async def _read(self) -> int | None:
        """Read the whole configuration; return the store's revision."""
        answer = await self._store.call(store.GetKey(self._source.key))
        if answer.is_err():
            return None
        reply = answer.unwrap()
        self._take_in(reply)
        return reply.revision

    async def _watch(self, revision: int) -> int | None:
        """Wait for a change; return from where to go on, if possible."""
        request = store.WatchPrefix(self._source.key, revision, WATCH_MS)
        answer = await self._store.call(request)
        if answer.is_err():
            return None
        reply = answer.unwrap()
        self._take_in(reply)
        return reply.revision

    def _take_in(self, reply: store.Entries) -> None:
        for entry in reply.entries:
            if entry.key == self._source.key and entry.value:
                self.offer(entry.value, 'store')
