"""A TCP proxy on loopback that misbehaves on request: delays, resets, silence, cuts one way."""
import asyncio
import socket
import struct
import threading

BLOCK = 65536


class Way:
    """One direction of a connection; what is dropped is gone for good."""

    def __init__(self, proxy, reader, writer, is_request):
        self.proxy, self.reader, self.writer = proxy, reader, writer
        self.is_request, self.is_hushed = is_request, False

    def drops(self):
        mode = self.proxy.mode
        return (self.is_hushed or mode == "silent"
                or mode == ("no_requests" if self.is_request else "no_answers"))

    async def run(self):
        try:
            while data := await self.reader.read(BLOCK):
                if self.proxy.delay_s:
                    await asyncio.sleep(self.proxy.delay_s)
                if self.drops():
                    self.is_hushed = True
                    continue
                self.writer.write(data)
                await self.writer.drain()
        except OSError:
            pass
        if not self.is_hushed:
            self.writer.close()


class Proxy:
    """Forwards connections to 127.0.0.1:upstream from a port of its own.

    mode: "ok"; "refuse" resets new and open connections; "silent" takes connections and drops all
    bytes; "no_requests" and "no_answers" drop one direction. A connection that lost bytes stays
    silent when the mode is "ok" again, as TCP would not go on either.
    """

    def __init__(self, upstream):
        self.upstream, self.mode, self.delay_s = upstream, "ok", 0.0
        self.ways = set()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.started = threading.Event()
        self.thread.start()
        self.started.wait()

    def _serve(self):
        asyncio.set_event_loop(self.loop)
        server = self.loop.run_until_complete(asyncio.start_server(self._accept, "127.0.0.1", 0))
        self.port = server.sockets[0].getsockname()[1]
        self.started.set()
        self.loop.run_forever()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    async def _accept(self, reader, writer):
        if self.mode == "refuse":
            self._reset(writer)
            return
        try:
            up_reader, up_writer = await asyncio.open_connection("127.0.0.1", self.upstream)
        except OSError:
            self._reset(writer)
            return
        ways = [Way(self, reader, up_writer, True), Way(self, up_reader, writer, False)]
        self.ways.update(ways)
        try:
            await asyncio.gather(*(way.run() for way in ways))
        except asyncio.CancelledError:
            pass  # the proxy stops
        self.ways.difference_update(ways)

    @staticmethod
    def _reset(writer):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                   struct.pack("ii", 1, 0))
        writer.transport.abort()

    def _call(self, function):
        self.loop.call_soon_threadsafe(function)

    def set(self, mode="ok", delay_s=0.0):
        """Sets how the proxy behaves from now on."""
        self.mode, self.delay_s = mode, delay_s
        if mode == "refuse":
            self.reset_open()

    def reset_open(self):
        """Resets all open connections."""
        self._call(lambda: [self._reset(way.writer) for way in list(self.ways)])

    def hush_open(self):
        """Open connections go silent for good without a reset; new ones work."""
        for way in list(self.ways):
            way.is_hushed = True

    def stop(self):
        self._call(self.loop.stop)
        self.thread.join()
