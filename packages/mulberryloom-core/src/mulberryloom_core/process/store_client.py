"""Client of the platform's store through the JSON gateway of etcd v3."""

import collections

from result import Err
from result import Ok
from result import Result

from .. import exceptions
from .. import store
from ..connection import http_client
from ..connection import http_types
from . import etcd_json
from ..identity import Address
from . import store_watch

STORE_TIMEOUT_MS = 2_000


class EtcdStore:
    """Store client that uses one of several addresses.

    If an address does not respond, the next call goes to the next address.
    A call is never retried, since its write may have taken effect.

    :ivar calls_by_kind: number of calls, by the name of the request class.
    """

    __slots__ = ('calls_by_kind', '_addresses', '_http')

    def __init__(self, addresses: list[Address]) -> None:
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self._addresses = collections.deque(addresses)
        self._http = http_client.HttpClient.from_limits()

    @classmethod
    def from_settings(cls, addresses: list[str]) -> 'EtcdStore':
        """Build a client.

        :param addresses: at least one, as ``host:port``.
        """
        return cls([Address.from_text(text) for text in addresses])

    async def call(
        self, request: store.StoreRequest
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Perform one request.

        Requests for many keys are split at the transaction limit.
        """
        match request:
            case store.WatchPrefix():
                return await self._watch(request)
            case store.PutMany(values_by_key):
                items = list(values_by_key.items())
                requests = [
                    store.PutMany(dict(batch)) for batch in _batches(items)
                ]
                return await self._call_all(requests)
            case store.DeleteMany(keys):
                requests = [
                    store.DeleteMany(batch) for batch in _batches(keys)
                ]
                return await self._call_all(requests)
        return await self._call_once(request)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._http.close()

    async def _call_all(
        self, requests: list[store.StoreRequest]
    ) -> Result[store.StoreReply, exceptions.Error]:
        result: Result[store.StoreReply, exceptions.Error]
        result = Ok(store.Written(0))
        for request in requests:
            result = await self._call_once(request)
            if result.is_err():
                break
        return result

    async def _watch(
        self, request: store.WatchPrefix
    ) -> Result[store.StoreReply, exceptions.Error]:
        """Wait for the first changes; may return earlier without any."""
        self._count(request)
        result = await store_watch.wait_for_changes(
            self._addresses[0], request
        )
        if result.is_err():
            self._addresses.rotate(-1)
        return result

    async def _call_once(
        self,
        request: store.StoreRequest,
    ) -> Result[store.StoreReply, exceptions.Error]:
        self._count(request)
        call = etcd_json.encode_request(request)
        result = await self._http.call(
            self._addresses[0],
            http_types.HttpRequest(
                'POST',
                call.path,
                headers_by_name={'content-type': 'application/json'},
                body=call.body,
            ),
            STORE_TIMEOUT_MS,
        )
        if result.is_err():
            self._addresses.rotate(-1)
            return Err(
                exceptions.Error.from_kind(
                    exceptions.ErrorKind.STORE_UNAVAILABLE,
                    result.err_value.detail,
                    ran=result.err_value.ran,
                )
            )
        response = result.ok_value
        if response.status != 200:
            return Err(etcd_json.decode_error(response.body))
        return etcd_json.decode_reply(request, response.body)

    def _count(self, request: store.StoreRequest) -> None:
        self.calls_by_kind[type(request).__name__] += 1


def _batches(items: list) -> list[list]:
    size = etcd_json.MAX_TXN_OPERATIONS
    return [
        items[start : start + size] for start in range(0, len(items), size)
    ]
