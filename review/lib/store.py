"""Stand-in of the platform's store, as PROTOCOL.md tells it: items, watches, transactions, leases."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from http11 import Answer, Server, json_answer

HISTORY_S = 20.0
PAGE_ITEMS = 500


class Store:
    def __init__(self):
        self.items = {}  # key -> dict(value, revision, created, lease)
        self.revision = 1
        self._history = []  # (time, event)
        self._oldest = 1
        self._leases = {}  # id -> [lifetime_s, ends_at]
        self._next_lease = 1000
        self._changed = asyncio.Event()
        self.server = Server(self._handle)

    async def listen(self, host):
        asyncio.ensure_future(self._expire())
        return await self.server.listen(host)

    # What the operator and the servers do.

    def put(self, key, value, lease=0):
        """Writes raw bytes; returns the revision, with which the store acknowledges the write."""
        self.revision += 1
        before = self.items.get(key)
        self.items[key] = {
            "key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
            "created": before["created"] if before else self.revision, "lease": lease,
        }
        self._note(dict(self.items[key]))
        return self.revision

    def put_json(self, key, document):
        return self.put(key, json.dumps(document).encode())

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"key": key, "revision": self.revision, "deleted": True})

    # What the daemons do.

    def _note(self, event):
        now = time.monotonic()
        self._history.append((now, event))
        while self._history and now - self._history[0][0] > HISTORY_S:
            self._oldest = self._history.pop(0)[1]["revision"]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [i for i, (_, end) in self._leases.items() if end <= now]:
                self._end(lease)

    def _end(self, lease):
        found = self._leases.pop(lease, None) is not None
        for key in [k for k, item in self.items.items() if lease and item["lease"] == lease]:
            self.remove(key)
        return found

    async def _handle(self, request, _):
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        path = url.path
        if path == "/ramphinge/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return Answer(404)
            return json_answer({**item, "store_revision": self.revision})
        if path == "/ramphinge/kv-range":
            return self._range(query)
        if path == "/ramphinge/kv-watch":
            return await self._watch(query)
        body = json.loads(request.body or b"{}")
        if path == "/ramphinge/kv-txn":
            return self._transact(body)
        if path == "/ramphinge/kv-lease":
            self._next_lease += 1
            lifetime = min(max(body["lifetime_ms"], 1000), 600_000)
            self._leases[self._next_lease] = [lifetime / 1000, time.monotonic() + lifetime / 1000]
            return json_answer({"lease": self._next_lease, "lifetime_ms": lifetime})
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/ramphinge/kv-lease-end/"):
            return json_answer({}) if self._end(lease) else Answer(404)
        if lease not in self._leases:
            return Answer(404)
        lifetime = self._leases[lease][0]
        self._leases[lease][1] = time.monotonic() + lifetime
        return json_answer({"lifetime_ms": int(lifetime * 1000)})

    def _range(self, query):
        keys = sorted(k for k in self.items
                      if k.startswith(query.get("path_prefix", "")) and k > query.get("after", ""))
        return json_answer({"items": [self.items[k] for k in keys[:PAGE_ITEMS]],
                            "truncated": len(keys) > PAGE_ITEMS, "store_revision": self.revision})

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("path_prefix", "")
        end = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        while True:
            if after < self._oldest and self._oldest > 1:
                return Answer(410)
            events = [event for _, event in self._history
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return json_answer({"events": events, "store_revision": self.revision})
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        for row in body["expected"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                shown = [self.items[r["key"]] for r in body["expected"] if r["key"] in self.items]
                return json_answer({"items": shown}, 412)
        for write in body["writes"]:
            if write.get("lease", 0) not in self._leases and write.get("lease", 0) != 0:
                return Answer(404)
        for write in body["writes"]:
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return json_answer({"revision": self.revision})
