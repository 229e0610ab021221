"""List of live entries in heartbeat replies, sent only when it changed.

The list is the largest part of a heartbeat reply. A session delivers
messages in order, so an agent needs each list only once per session.
"""

import typing as t

if t.TYPE_CHECKING:
    from mulberryloom_core import messages


class EntryListTracker:
    """Tracks which agents have the current list of live entries."""

    __slots__ = ('_entries', '_informed_workers')

    def __init__(self) -> None:
        self._entries: list['messages.EntryInfo'] = []
        self._informed_workers: set[str] = set()

    def entries_for(
        self, worker: str, entries: list['messages.EntryInfo']
    ) -> list['messages.EntryInfo']:
        """Return the entries to send to an agent; empty if it has them.

        :param worker: name of the agent's worker.
        :param entries: the live entries, in a fixed order.
        """
        if entries != self._entries:
            self._entries = entries
            self._informed_workers.clear()
        if worker in self._informed_workers:
            return []
        self._informed_workers.add(worker)
        return entries

    def forget(self, worker: str) -> None:
        """Send the list again to an agent that opened a new session."""
        self._informed_workers.discard(worker)
