"""A sound server of a plain service, which registers itself and writes down what it runs."""

import asyncio
import itertools

from http11 import Answer, Server


class PlainServer:
    """Of the service `app`. `runs` holds the headers of each request that it has run, by its id."""

    def __init__(self, name, store, record):
        self.name, self.store, self.record = name, store, record
        self.runs = {}
        self.http = Server(self.handle)
        self.port = 0

    async def start(self):
        self.port = await self.http.listen("127.0.0.1")
        asyncio.ensure_future(self.beat())

    async def beat(self):
        for sequence in itertools.count(1):
            self.store.put_json(f"servers/{self.name}", {
                "service": "app", "address": f"127.0.0.1:{self.port}", "zone": "a", "version": "v1",
                "slots": 6, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence})
            await asyncio.sleep(5)

    async def handle(self, request, _):
        if request.headers.get("expected-instance", self.name) != self.name:
            return Answer(421, headers={"Instance-Id": self.name})
        if request.target == "/health":
            return Answer(200, headers={"Instance-Id": self.name})
        if request.target.startswith("/ramphinge/"):
            return Answer(404)
        request_id = request.headers.get("request-id", "")
        if not request_id:
            return Answer(400, headers={"Not-Executed": "1"})
        self.runs[request_id] = request.headers
        self.record.note(f"run {request_id} at {self.name}, {request.target}")
        return Answer(200, b"answer to " + request_id.encode(),
                      {"Request-Id": request_id, "Response-Seal": self.name})
