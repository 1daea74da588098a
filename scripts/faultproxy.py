"""A TCP proxy on loopback that injects delays, resets and data loss in one or both directions, and
delivers requests late."""
import asyncio
import collections
import re
import socket
import struct
import threading
import time

READ_SIZE = 65536
# Blocks are this short where the bandwidth is limited, so that the limit shows within a message.
NARROW_READ_SIZE = 2048
REJECTIONS = {"503": b"HTTP/1.1 503 Service Unavailable\r\n",
              "429": b"HTTP/1.1 429 Too Many Requests\r\n"}
# After this the reply to a request that is delivered late is not awaited any more.
LATE_REPLY_TIMEOUT_S = 5

# A request that was held back; sent is a value of time.monotonic().
HeldRequest = collections.namedtuple("HeldRequest", "sent data")
REJECTION_END = b"Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"


def is_complete_request(data):
    head, separator, body = data.partition(b"\r\n\r\n")
    length = re.search(rb"content-length: *(\d+)", head.lower())
    return bool(separator) and len(body) >= (int(length[1]) if length else 0)


class Direction:
    """One direction of a connection. Once it has dropped data, it drops all data that follows."""

    def __init__(self, proxy, reader, writer, client_writer, is_request):
        self.proxy, self.reader, self.writer = proxy, reader, writer
        self.client_writer = client_writer
        self.is_request, self.is_silenced = is_request, False
        self.requests = self  # the direction that counts the requests of the connection
        self.request_count, self.last_request = 0, b""

    def should_drop(self):
        mode = self.proxy.mode
        return (self.is_silenced or mode == "silent"
                or mode == ("no_requests" if self.is_request else "no_answers"))

    def cuts_reply(self, data):
        """Whether this block begins a reply that is lost in a reset, see FaultProxy.cut_replies."""
        proxy, requests = self.proxy, self.requests
        if self.is_request or proxy.cut_marker is None or requests.request_count < 2:
            return False
        return data.startswith(b"HTTP/1.1 ") and proxy.cut_marker in requests.last_request

    async def delay(self, data):
        proxy = self.proxy
        delay_s = proxy.base_delay_s + proxy.delay_s + (0 if self.is_request else proxy.reply_delay_s)
        if proxy.bytes_per_s:
            delay_s += len(data) / proxy.bytes_per_s
        if delay_s:
            await asyncio.sleep(delay_s)

    async def holds_back(self, data):
        """Whether this block begins a request that is held back, see FaultProxy.hold_back."""
        proxy = self.proxy
        if not proxy.held_shares or not self.is_request or self.is_silenced:
            return False
        share = proxy.held_shares.get(data[:100].split(b" ")[1], 0) if data.startswith(b"POST ") else 0
        if proxy.held_random.random() >= share:
            return False
        sent = time.monotonic()
        while not is_complete_request(data):
            more = await self.reader.read(READ_SIZE)
            if not more:
                return True
            data += more
        proxy.held_requests.append(HeldRequest(sent, data))
        return True

    async def forward_data(self):
        try:
            while data := await self.reader.read(
                    NARROW_READ_SIZE if self.proxy.bytes_per_s else READ_SIZE):
                if self.is_request and data.startswith((b"POST ", b"GET ")):
                    self.request_count += 1
                    self.last_request = data
                await self.delay(data)
                if await self.holds_back(data):
                    self.is_silenced = True
                    continue
                if self.should_drop():
                    self.is_silenced = True
                    continue
                if self.cuts_reply(data):
                    self.proxy.lose_reply(self.client_writer)
                    break
                self.writer.write(data)
                await self.writer.drain()
        except OSError:
            pass
        if not self.is_silenced:
            self.writer.close()


class EventLoop:
    """An event loop in a thread of its own, which all proxies share."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def call(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def post(self, callback):
        self.loop.call_soon_threadsafe(callback)


EVENT_LOOP = EventLoop()


class FaultProxy:
    """Forwards connections from a port of its own to 127.0.0.1:upstream_port.

    mode: "ok"; "refuse" resets open connections, and new ones after it has accepted them; "silent"
    accepts connections and drops all data; "no_requests" and "no_answers" drop the data of one
    direction; "503" and "429" reply with this status to the first request of each new connection
    and close it. A direction that has dropped data stays silent after the mode returns to "ok",
    since a TCP stream cannot continue after a gap. base_delay_s is the delay of each block of data
    without any fault.
    """

    def __init__(self, upstream_port, base_delay_s=0.0):
        self.upstream_port, self.base_delay_s = upstream_port, base_delay_s
        self.directions, self.tasks = set(), set()
        self.lost_reply_count = 0
        self.held_shares, self.held_random, self.held_requests = {}, None, []
        self.set()
        # A socket that never listens keeps the port while the proxy does not listen.
        self.port_keeper = self._bind(0)
        self.port = self.port_keeper.getsockname()[1]
        self.refusal_count = 0
        EVENT_LOOP.call(self._listen())

    @staticmethod
    def _bind(port):
        bound = socket.socket()
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound.bind(("127.0.0.1", port))
        return bound

    async def _listen(self):
        self.server = await asyncio.start_server(self._handle_connection, sock=self._bind(self.port))

    async def _handle_connection(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            await self._serve(reader, writer)
        except (asyncio.CancelledError, OSError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())

    async def _serve(self, reader, writer):
        if self.mode == "refuse":
            self._reset_connection(writer)
            return
        if self.mode in REJECTIONS:
            rejection = REJECTIONS[self.mode] + REJECTION_END
            if await reader.read(READ_SIZE):
                writer.write(rejection)
                await writer.drain()
            writer.close()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self.upstream_port)
        except OSError:
            self._reset_connection(writer)
            return
        requests = Direction(self, reader, upstream_writer, writer, True)
        replies = Direction(self, upstream_reader, writer, writer, False)
        replies.requests = requests
        self.directions.update((requests, replies))
        try:
            await asyncio.gather(requests.forward_data(), replies.forward_data())
        finally:
            self.directions.difference_update((requests, replies))
            upstream_writer.close()

    @staticmethod
    def _reset_connection(writer):
        connection = writer.get_extra_info("socket")
        if connection.fileno() >= 0:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    def set(self, mode="ok", delay_s=0.0, reply_delay_s=0.0, bytes_per_s=0):
        """Sets the mode, the delay of each block of data in both directions, the further delay of
        replies and the bandwidth (0 for no limit), also for open connections."""
        self.mode, self.delay_s, self.reply_delay_s = mode, delay_s, reply_delay_s
        self.bytes_per_s = bytes_per_s
        self.cut_marker = None
        if mode == "refuse":
            self.reset_open_connections()

    def cut_replies(self, marker, next_mode="ok", all_connections=False):
        """Loses the next reply to a request that contains marker in its first block, on a
        connection that was used before: the request has been executed, the connection is reset
        before the first byte of the reply. The mode becomes next_mode at the same moment; with all_connections, the
        other open connections are reset as well."""
        self.cut_next_mode, self.cut_all_connections = next_mode, all_connections
        self.cut_marker = marker

    def lose_reply(self, client_writer):
        self.lost_reply_count += 1
        if self.cut_next_mode != "ok":
            self.cut_marker = None
        self.mode = self.cut_next_mode
        self._reset_connection(client_writer)
        if self.cut_all_connections:
            self._reset_all()

    def hold_back(self, shares, generator):
        """Holds back these shares of the POST requests to a path, in every mode; the generator
        chooses. The caller gets no reply, and the connection carries nothing more."""
        self.held_requests, self.held_random, self.held_shares = [], generator, shares

    def stop_holding_back(self):
        """Returns the requests that were held back."""
        self.held_shares = {}
        return self.held_requests

    def deliver(self, request):
        """Sends a request that was held back, over a connection of its own. Returns the status of
        the reply, which the caller never sees, or 0."""
        async def send():
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.upstream_port)
                writer.write(request.data)
                reply = await asyncio.wait_for(reader.read(READ_SIZE), LATE_REPLY_TIMEOUT_S)
                writer.close()
                return int(reply[9:12] or 0)
            except (OSError, asyncio.TimeoutError):
                return 0

        return EVENT_LOOP.call(send())

    def _reset_all(self):
        for direction in list(self.directions):
            self._reset_connection(direction.writer)

    def reset_open_connections(self):
        """Resets all open connections."""
        EVENT_LOOP.post(self._reset_all)

    def refuse_connections(self):
        """Resets all open connections and stops listening: new ones fail with ECONNREFUSED until
        accept_connections() was called as often. The port stays the same."""
        async def refuse():
            self.refusal_count += 1
            self.server.close()
            self._reset_all()

        EVENT_LOOP.call(refuse())

    def accept_connections(self):
        async def accept():
            self.refusal_count -= 1
            if self.refusal_count == 0:
                await self._listen()

        EVENT_LOOP.call(accept())

    def silence_open_connections(self):
        """Drops all further data of open connections without a reset; new connections work."""
        for direction in list(self.directions):
            direction.is_silenced = True

    def stop(self):
        async def close():
            self.server.close()
            self.port_keeper.close()
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

        EVENT_LOOP.call(close())
