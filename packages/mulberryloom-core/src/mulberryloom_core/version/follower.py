"""Keeps the configuration of a process up to date.

Sans-I/O. A process never returns to a lower version. A process that uses
the store also repairs the document there, when the store was restored from
an older state and lacks accepted tickets.
"""

from result import Result

from .. import effects
from .. import messages
from .. import store
from . import configuration
from . import document as document_
from ..exceptions import Error
from ..identity import PeerId
from . import merge

WATCH_TIMEOUT_MS = 10_000
RETRY_DELAY_MS = 500
FETCH_TIMEOUT_MS = 1_000
#: Time after which an unanswered store call is repeated as a read; longer
#: than the timeout of a watch, which stays open without changes.
CALL_TIMEOUT_MS = WATCH_TIMEOUT_MS + 10_000
#: Interval of reads without a watch event. A store that was restored from
#: an older state can skip revisions, so that a watch misses changes.
REREAD_INTERVAL_MS = 300_000

Effect = effects.CallStore | effects.Send


class Follower:
    """Holds the configuration of one process and follows its changes.

    :param call_ids: source of store call ids, shared within the process.
    :param uses_store: whether the process reads and watches the store;
        otherwise it fetches the configuration from peers only.
    """

    __slots__ = (
        '_call_id',
        '_call_ids',
        '_call_started_ms',
        '_document',
        '_encoded',
        '_fetch_timeout_at_ms',
        '_is_read_due',
        '_last_read_ms',
        '_next_call_ms',
        '_peer_document',
        '_pending_request',
        '_pending_write',
        '_revision',
        '_uses_store',
    )

    def __init__(self, call_ids: effects.CallIds, *, uses_store: bool) -> None:
        self._call_ids = call_ids
        self._uses_store = uses_store
        self._document = document_.Document.empty()
        self._encoded = document_.encode(self._document)
        self._peer_document: document_.Document | None = None
        self._fetch_timeout_at_ms = 0
        self._call_id = 0
        self._call_started_ms = 0
        self._next_call_ms = 0
        self._pending_request: store.StoreRequest | None = None
        self._is_read_due = True
        self._last_read_ms = 0
        self._revision = 0
        self._pending_write: document_.Document | None = None

    @classmethod
    def from_process(
        cls, call_ids: effects.CallIds, *, uses_store: bool = True
    ) -> 'Follower':
        """Build a follower with the empty configuration."""
        return cls(call_ids, uses_store=uses_store)

    @property
    def configuration(self) -> configuration.Configuration:
        """The configuration in force in this process."""
        return self._document.configuration

    @property
    def document(self) -> document_.Document:
        """The document in force, with its history."""
        return self._document

    def is_pending_call(self, call_id: int) -> bool:
        """Return whether a store call is the pending one of this follower."""
        return call_id != 0 and call_id == self._call_id

    def on_tick(self, now_ms: int) -> list[Effect]:
        """Read or watch the document if due, also after a call timeout."""
        if not self._uses_store:
            return []
        if self._call_id:
            if now_ms - self._call_started_ms < CALL_TIMEOUT_MS:
                return []
            self._is_read_due = True
        elif now_ms < self._next_call_ms:
            return []
        if self._is_read_due:
            return self._call_store(store.GetKey(document_.KEY), now_ms)
        watch = store.WatchPrefix(
            document_.KEY, self._revision, WATCH_TIMEOUT_MS
        )
        return self._call_store(watch, now_ms)

    def on_store_done(
        self,
        call_id: int,
        result: Result[store.StoreReply, Error],
        now_ms: int,
    ) -> list[Effect]:
        """Process the result of a store call."""
        if not self.is_pending_call(call_id):
            return []
        self._call_id = 0
        request = self._pending_request
        if isinstance(request, store.PutKey):
            return self._on_put(result, now_ms)
        if result.is_err():
            self._is_read_due = True
            self._next_call_ms = now_ms + RETRY_DELAY_MS
            return []
        reply = result.unwrap()
        if isinstance(request, store.WatchPrefix) and not reply.entries:
            self._is_read_due = (
                reply.revision < self._revision
                or now_ms - self._last_read_ms >= REREAD_INTERVAL_MS
            )
            return self.on_tick(now_ms)
        return self._on_read(reply, now_ms)

    def on_peer_version(
        self, peer: PeerId, version: int, now_ms: int
    ) -> list[Effect]:
        """Fetch the document from a peer that has a higher version."""
        known_version = self._document.version
        if self._peer_document is not None:
            known_version = max(known_version, self._peer_document.version)
        if version <= known_version or now_ms < self._fetch_timeout_at_ms:
            return []
        self._fetch_timeout_at_ms = now_ms + FETCH_TIMEOUT_MS
        message = messages.FetchConfiguration(self._document.version)
        return [effects.Send(peer.role, peer.name, message)]

    def on_message(
        self, peer: PeerId, message: messages.Message, now_ms: int
    ) -> list[Effect]:
        """Answer a peer's fetch, or process the document of a peer."""
        if isinstance(message, messages.FetchConfiguration):
            if message.config_version >= self._document.version:
                return []
            reply = messages.ConfigurationDocument(
                self._document.version, self._encoded
            )
            return [effects.Send(peer.role, peer.name, reply)]
        if isinstance(message, messages.ConfigurationDocument):
            self._fetch_timeout_at_ms = 0
            decoded = document_.decode(message.document)
            if decoded.is_ok():
                self._on_peer_document(decoded.unwrap())
        return []

    def adopt(self, document: document_.Document) -> None:
        """Replace the document in force if the version is higher."""
        if document.version > self._document.version:
            self._document = document
            self._encoded = document_.encode(document)

    def _on_peer_document(self, document: document_.Document) -> None:
        """Process a document of a higher version from a peer.

        If it lacks an accepted ticket, it is kept until the next read and
        then merged with the document in the store. A process that does not
        use the store adopts it as it is.
        """
        if document.version <= self._document.version:
            return
        if not self._uses_store or merge.covers(document, self._document):
            self.adopt(document)
            return
        self._peer_document = document
        self._is_read_due = True

    def _on_read(self, reply: store.Entries, now_ms: int) -> list[Effect]:
        self._is_read_due = False
        self._last_read_ms = now_ms
        self._revision = reply.revision
        entry = next(
            (item for item in reply.entries if item.key == document_.KEY),
            store.Entry(document_.KEY, b'', 0),
        )
        stored = document_.Document.empty()
        revision = 0
        if entry.value:
            revision = entry.revision
            decoded = document_.decode(entry.value)
            if decoded.is_err():
                return self.on_tick(now_ms)
            stored = decoded.unwrap()
        merged = merge.merge(self._document, stored)
        if self._peer_document is not None:
            merged = merge.merge(merged, self._peer_document)
        self._peer_document = None
        if merged is stored:
            self.adopt(stored)
            return self.on_tick(now_ms)
        if merged.version == stored.version:
            return self.on_tick(now_ms)
        return self._write_to_store(merged, revision, now_ms)

    def _write_to_store(
        self, document: document_.Document, revision: int, now_ms: int
    ) -> list[Effect]:
        """Write a document with tickets that the stored one lacks.

        A document above the size limit of the store is not written.
        """
        encoded = document_.encode(document)
        if len(encoded) > store.MAX_VALUE_BYTES:
            return self.on_tick(now_ms)
        self._pending_write = document
        return self._call_store(
            store.PutKey(document_.KEY, encoded, revision), now_ms
        )

    def _on_put(
        self, result: Result[store.StoreReply, Error], now_ms: int
    ) -> list[Effect]:
        written, self._pending_write = self._pending_write, None
        if result.is_ok():
            self._revision = result.unwrap().revision
            self.adopt(written)
            return self.on_tick(now_ms)
        self._is_read_due = True
        self._next_call_ms = now_ms + RETRY_DELAY_MS
        return []

    def _call_store(
        self, request: store.StoreRequest, now_ms: int
    ) -> list[Effect]:
        self._call_id = self._call_ids.take()
        self._call_started_ms = now_ms
        self._pending_request = request
        return [effects.CallStore(self._call_id, request)]
