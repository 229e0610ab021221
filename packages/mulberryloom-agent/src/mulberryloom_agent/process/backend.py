"""Health of the backend server, from announcements and heartbeats."""

from mulberryloom_core import messages
from mulberryloom_core import shapes

from .. import effects

# Ages of the last heartbeat at which the health becomes FAILING or ABSENT.
FAILING_AFTER_MS = 3_000
ABSENT_AFTER_MS = 10_000


class Backend:
    """Last known state of the backend server on this worker.

    :ivar address: ``host:port``; empty until the first announcement.
    :ivar services: names of the services that it offers.
    """

    __slots__ = (
        'address',
        'capacity',
        'health',
        'services',
        '_last_heartbeat_ms',
    )

    def __init__(self) -> None:
        self.address = ''
        self.services: tuple[str, ...] = ()
        self.capacity = shapes.Resources()
        self.health = messages.BackendHealth.ABSENT
        self._last_heartbeat_ms = 0

    def announce(self, event: effects.BackendAnnounced, now_ms: int) -> bool:
        """Apply an announcement; it counts as a heartbeat too.

        :return: whether address, services, capacity or health changed.
        """
        before = (self.address, self.services, self.capacity, self.health)
        self.address = event.address
        self.services = event.services
        self.capacity = event.capacity
        self.health = messages.BackendHealth.HEALTHY
        self._last_heartbeat_ms = now_ms
        after = (self.address, self.services, self.capacity, self.health)
        return before != after

    def heartbeat(self, now_ms: int) -> bool:
        """Apply a heartbeat.

        It makes a failing or absent backend server healthy, but not a
        leaving one. Before the first announcement it is ignored.

        :return: whether the health changed.
        """
        if not self.address:
            return False
        self._last_heartbeat_ms = now_ms
        if self.health == messages.BackendHealth.LEAVING:
            return False
        return self._set_health(messages.BackendHealth.HEALTHY)

    def leave(self) -> bool:
        """Mark the backend server as leaving.

        :return: whether the health changed.
        """
        return self._set_health(messages.BackendHealth.LEAVING)

    def tick(self, now_ms: int) -> bool:
        """Mark the backend server failing or absent on missed heartbeats.

        A leaving backend server stays so until its next announcement.

        :return: whether the health changed.
        """
        is_leaving = self.health == messages.BackendHealth.LEAVING
        if is_leaving or not self.address:
            return False
        heartbeat_age_ms = now_ms - self._last_heartbeat_ms
        if heartbeat_age_ms >= ABSENT_AFTER_MS:
            return self._set_health(messages.BackendHealth.ABSENT)
        if heartbeat_age_ms >= FAILING_AFTER_MS:
            return self._set_health(messages.BackendHealth.FAILING)
        return False

    def _set_health(self, health: messages.BackendHealth) -> bool:
        is_changed = self.health != health
        self.health = health
        return is_changed
