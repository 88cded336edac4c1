"""Minimal HTTP/1.1 on asyncio streams, for the stand-ins of the review."""

import asyncio
import json


class Cut(Exception):
    """The connection ends without a further byte."""


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body


class Answer:
    def __init__(self, status, body=b"", headers=None):
        self.status, self.body, self.headers = status, body, headers or {}


def json_answer(document, status=200):
    return Answer(status, json.dumps(document).encode(), {"Content-Type": "application/json"})


async def read_head(reader):
    """The first line, and the headers with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return head[0], headers


async def read_body(reader, headers):
    """The body of a request, or of an answer with a length or in chunks. Raises if it is cut off."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return body
        body += chunk


def head_of(first_line, headers):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Server:
    """Serves one address. `handler(request, writer)` returns an Answer, or None if it wrote one."""

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()

    async def listen(self, host, port=0):
        self._server = await asyncio.start_server(self._accept, host, port, limit=4 * 2**20)
        return self._server.sockets[0].getsockname()[1]

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _accept(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                answer = await self._handler(Request(method, target, headers, body), writer)
                if answer is not None:
                    fields = {**answer.headers, "Content-Length": len(answer.body)}
                    writer.write(head_of(f"HTTP/1.1 {answer.status} X", fields) + answer.body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, Cut, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(host, port, method, target, headers, body=b"", timeout=5.0):
    """One request on a new connection: (status, headers, body), or (0, {}, reason)."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(host, port, limit=4 * 2**20), timeout)
        writer.write(head_of(f"{method} {target} HTTP/1.1",
                             {**headers, "Content-Length": len(body), "Connection": "close"}) + body)
        line, fields = await asyncio.wait_for(read_head(reader), timeout)
        answered = await asyncio.wait_for(read_body(reader, fields), timeout)
        return int(line.split(" ")[1]), fields, answered
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as e:
        return 0, {}, repr(e).encode()
    finally:
        if writer is not None:
            writer.close()
