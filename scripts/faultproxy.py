"""A TCP proxy on loopback that injects delays, resets and data loss in one or both directions."""
import asyncio
import socket
import struct
import threading

READ_SIZE = 65536


class Direction:
    """One direction of a connection. Once it has dropped data, it drops all data that follows."""

    def __init__(self, proxy, reader, writer, is_request):
        self.proxy, self.reader, self.writer = proxy, reader, writer
        self.is_request, self.is_silenced = is_request, False

    def should_drop(self):
        mode = self.proxy.mode
        return (self.is_silenced or mode == "silent"
                or mode == ("no_requests" if self.is_request else "no_answers"))

    async def forward_data(self):
        try:
            while data := await self.reader.read(READ_SIZE):
                if self.proxy.delay_s:
                    await asyncio.sleep(self.proxy.delay_s)
                if self.should_drop():
                    self.is_silenced = True
                    continue
                self.writer.write(data)
                await self.writer.drain()
        except OSError:
            pass
        if not self.is_silenced:
            self.writer.close()


class FaultProxy:
    """Forwards connections from a port of its own to 127.0.0.1:upstream_port.

    mode: "ok"; "refuse" resets new and open connections; "silent" accepts connections and drops
    all data; "no_requests" and "no_answers" drop the data of one direction. A direction that has
    dropped data stays silent after the mode returns to "ok", since a TCP stream cannot continue
    after a gap.
    """

    def __init__(self, upstream_port):
        self.upstream_port, self.mode, self.delay_s = upstream_port, "ok", 0.0
        self.directions = set()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self._serve, daemon=True)
        self.started = threading.Event()
        self.thread.start()
        self.started.wait()

    def _serve(self):
        asyncio.set_event_loop(self.loop)
        server = self.loop.run_until_complete(
            asyncio.start_server(self._handle_connection, "127.0.0.1", 0))
        self.port = server.sockets[0].getsockname()[1]
        self.started.set()
        self.loop.run_forever()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    async def _handle_connection(self, reader, writer):
        if self.mode == "refuse":
            self._reset_connection(writer)
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                "127.0.0.1", self.upstream_port)
        except OSError:
            self._reset_connection(writer)
            return
        directions = [Direction(self, reader, upstream_writer, True),
                      Direction(self, upstream_reader, writer, False)]
        self.directions.update(directions)
        try:
            await asyncio.gather(*(direction.forward_data() for direction in directions))
        except asyncio.CancelledError:
            pass  # the proxy is stopping
        self.directions.difference_update(directions)

    @staticmethod
    def _reset_connection(writer):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                                   struct.pack("ii", 1, 0))
        writer.transport.abort()

    def _run_in_loop(self, callback):
        self.loop.call_soon_threadsafe(callback)

    def set(self, mode="ok", delay_s=0.0):
        """Sets the mode and the delay of each block of data, also for open connections."""
        self.mode, self.delay_s = mode, delay_s
        if mode == "refuse":
            self.reset_open_connections()

    def reset_open_connections(self):
        """Resets all open connections."""
        self._run_in_loop(lambda: [self._reset_connection(direction.writer)
                                   for direction in list(self.directions)])

    def silence_open_connections(self):
        """Drops all further data of open connections without a reset; new connections work."""
        for direction in list(self.directions):
            direction.is_silenced = True

    def stop(self):
        self._run_in_loop(self.loop.stop)
        self.thread.join()
