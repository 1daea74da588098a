"""HTTP/1.1 with JSON bodies for the stand-ins: a server on asyncio, and blocking calls of clients."""
import asyncio
import http.client
import json


class Connection(asyncio.Protocol):
    """Requests of one connection, answered in their order."""

    def __init__(self, handle, connections):
        self.handle, self.connections = handle, connections
        self.buffer, self.queue, self.task = b"", asyncio.Queue(), None

    def connection_made(self, transport):
        self.transport = transport
        self.connections.add(self)
        self.task = asyncio.get_running_loop().create_task(self.answer())

    def connection_lost(self, error):
        self.connections.discard(self)
        self.task.cancel()

    def data_received(self, data):
        self.buffer += data
        while True:
            end = self.buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            lines = self.buffer[:end].decode("latin-1").split("\r\n")
            headers = {}
            for line in lines[1:]:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
            length = int(headers.get("content-length", 0))
            if headers.get("expect", "").lower() == "100-continue" and len(self.buffer) == end + 4:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            if len(self.buffer) < end + 4 + length:
                return
            body = self.buffer[end + 4:end + 4 + length]
            self.buffer = self.buffer[end + 4 + length:]
            method, target, _ = lines[0].split(" ", 2)
            self.queue.put_nowait((method, target, headers, body))

    async def answer(self):
        while True:
            method, target, headers, body = await self.queue.get()
            status, reply = await self.handle(method, target, headers, body)
            if status == 0:  # no answer
                continue
            data = reply if isinstance(reply, bytes) else json.dumps(reply).encode()
            self.transport.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                                 b"Content-Length: %d\r\n\r\n" % (status, len(data)) + data)


async def serve(address, port, handle, connections=None):
    """Serves handle(method, target, headers, body) -> (status, reply). Returns the server."""
    loop = asyncio.get_running_loop()
    known = connections if connections is not None else set()
    return await loop.create_server(lambda: Connection(handle, known), address, port, backlog=1024,
                                    reuse_address=True)


def call(address, method, path, body=None, headers=None, timeout=4.0):
    """Returns (status, parsed body); the status is 0 without an answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        data = body if body is None or isinstance(body, bytes) else json.dumps(body).encode()
        connection.request(method, path, data,
                           dict({"Content-Type": "application/json"}, **(headers or {})))
        reply = connection.getresponse()
        text = reply.read()
        try:
            return reply.status, json.loads(text or b"null")
        except ValueError:
            return reply.status, None
    except (OSError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()
