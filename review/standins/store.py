"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
import urllib.parse

from . import http

ANSWER_S = 0.004
HISTORY_S = 20.0
MAX_ENTRIES = 32
MAX_KEY_BYTES = 200
VALUE_BYTES = 1_048_576
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Store:
    """Key-value store with revisions, leases and watches.

    :ivar before: optional coroutine that is called before a call is carried
        out, and may return an answer in its place.
    :ivar after: optional coroutine that is called with the answer, and may
        return ``None`` to lose it.
    """

    def __init__(self, log):
        self._log = log
        self._revision = 1
        self._items = {}
        self._events = []
        self._leases = {}
        self._changed = asyncio.Event()
        self._server = http.Server(self._respond)
        self.before = None
        self.after = None

    async def listen(self, host, port):
        await self._server.listen(host, port)

    async def close(self):
        await self._server.close()

    # Used by the operator's stand-in

    def put(self, key, document):
        """Write a key without conditions; return the revision."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self._write([{'key': key, 'value': value}], [])
        return self._revision

    def get(self, key):
        """Return the decoded value of a key, or ``None``."""
        item = self._items.get(key)
        return base64.b64decode(item['value']) if item else None

    def _write(self, puts, remove):
        self._revision += 1
        for put in puts:
            known = self._items.get(put['key'])
            item = {
                'key': put['key'],
                'value': put.get('value', ''),
                'revision': self._revision,
                'created': known['created'] if known else self._revision,
                'lease': put.get('lease', 0),
            }
            self._items[put['key']] = item
            self._events.append((time.monotonic(), dict(item)))
        for key in remove:
            if self._items.pop(key, None) is not None:
                event = {
                    'key': key,
                    'revision': self._revision,
                    'deleted': True,
                }
                self._events.append((time.monotonic(), event))
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire_leases(self):
        now = time.monotonic()
        for lease, (end, _) in list(self._leases.items()):
            if end <= now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        keys = [k for k, item in self._items.items() if item['lease'] == lease]
        if keys:
            self._write([], keys)

    async def _respond(self, method, target, headers, body):
        await asyncio.sleep(ANSWER_S)
        path, _, query_text = target.partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        document = json.loads(body) if body else {}
        if self.before is not None:
            answer = await self.before(method, path, query, document)
            if answer is not None:
                return answer
        self._expire_leases()
        answer = await self._carry_out(method, path, query, document)
        if self.after is not None:
            return await self.after(method, path, document, answer)
        return answer

    async def _carry_out(self, method, path, query, document):
        if path == '/-/kv-key':
            item = self._items.get(query['key'])
            if item is None:
                return 404, {'at': self._revision}
            return 200, {**item, 'at': self._revision}
        if path == '/-/kv-range':
            return 200, self._range(query['prefix'], query.get('after', ''))
        if path == '/-/kv-watch':
            return await self._watch(query)
        if path == '/-/kv-txn':
            return self._transact(document)
        if path == '/-/kv-lease':
            lease = self._revision * 1_000 + len(self._leases) + 1
            ttl = max(1_000, document['ttl_ms'])
            self._leases[lease] = (time.monotonic() + ttl / 1_000, ttl)
            return 200, {'lease': lease, 'ttl_ms': ttl}
        lease = int(path.rpartition('/')[2])
        if lease not in self._leases:
            return 404, {}
        if path.startswith('/-/kv-keep/'):
            ttl = self._leases[lease][1]
            self._leases[lease] = (time.monotonic() + ttl / 1_000, ttl)
            return 200, {'ttl_ms': ttl}
        self._end_lease(lease)
        return 200, {}

    def _range(self, prefix, after):
        items, size = [], 0
        keys = sorted(
            k for k in self._items if k.startswith(prefix) and k > after
        )
        for key in keys:
            if len(items) >= PAGE_ITEMS or size >= PAGE_BYTES:
                break
            items.append(self._items[key])
            size += len(self._items[key]['value'])
        return {
            'items': items,
            'has_more': len(items) < len(keys),
            'at': self._revision,
        }

    async def _watch(self, query):
        prefix, after = query['prefix'], int(query['after'])
        end = time.monotonic() + int(query['wait_ms']) / 1_000
        while True:
            oldest = time.monotonic() - HISTORY_S
            self._events = [e for e in self._events if e[0] >= oldest]
            first = self._events[0][1]['revision'] if self._events else 0
            if first > after + 1 and after < self._revision - 1_000:
                return 410, {}
            events = [
                event
                for _, event in self._events
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events:
                return 200, self._first_events(events)
            if left <= 0:
                return 200, {'events': [], 'at': self._revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass

    def _first_events(self, events):
        """Return events up to the size of a page; the rest comes later."""
        page, size = [], 0
        for event in events:
            if page and size >= PAGE_BYTES:
                return {'events': page, 'at': page[-1]['revision']}
            page.append(event)
            size += len(event.get('value', ''))
        return {'events': page, 'at': self._revision}

    def _transact(self, document):
        expected = document.get('expected_revision', [])
        puts = document.get('puts', [])
        remove = document.get('remove', [])
        if len(expected) + len(puts) + len(remove) > MAX_ENTRIES:
            return 400, {}
        for put in puts:
            if put['key'].startswith(('op/', 'servers/')):
                return 403, {}
            if len(put['key']) > MAX_KEY_BYTES:
                return 400, {}
            if len(put.get('value', '')) * 3 // 4 > VALUE_BYTES + 2:
                self._log(
                    'store rejected a value over value_bytes', put['key']
                )
                return 413, {}
        if any(
            self._items.get(row['key'], {'revision': 0})['revision']
            != row['revision']
            for row in expected
        ):
            absent = {'revision': 0}
            items = [
                self._items.get(row['key'], {'key': row['key'], **absent})
                for row in expected
            ]
            return 412, {'items': items}
        for put in puts:
            if put.get('lease') and put['lease'] not in self._leases:
                return 404, {}
        self._write(puts, remove)
        return 200, {'revision': self._revision}
