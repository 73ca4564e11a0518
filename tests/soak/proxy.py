"""A loopback TCP proxy that delays, resets or silences connections."""

import asyncio
import socket
import struct
import threading

LOOPBACK = "127.0.0.1"
CHUNK_BYTES = 64 * 1024
# Interval at which a silenced connection is checked for its end, in seconds.
POLL_INTERVAL = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Fault:
    """The faults that are active in one proxy."""

    def __init__(self):
        self.delay = 0.0  # seconds
        self.silent = set()  # blocked directions: "up" (to the server), "down"


class Proxy:
    """Forwards one port to a server until its ProxyLoop ends."""

    def __init__(self, server_port):
        self.server_port = server_port
        self.port = None
        self.listener = None
        self.is_refusing = False
        self.reopening = None
        self.lock = asyncio.Lock()
        self.fault = Fault()
        self.transports = set()
        # Transports that stay silent although new connections work.
        self.silenced = set()

    async def open(self, port=0):
        self.listener = await asyncio.start_server(self._accept, LOOPBACK, port)
        self.port = self.listener.sockets[0].getsockname()[1]

    async def _follow_server(self):
        """Refuses connections as long as the server does."""
        async with self.lock:
            if self.is_refusing or await self._is_server_up():
                return
            self.is_refusing = True
            self.listener.close()
            # Without listening, it keeps the port from other processes.
            reserved = socket.socket()
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind((LOOPBACK, self.port))
            self.reopening = asyncio.ensure_future(self._reopen(reserved))

    async def _reopen(self, reserved):
        while not await self._is_server_up():
            await asyncio.sleep(POLL_INTERVAL)
        reserved.close()
        await self.open(self.port)
        self.is_refusing = False

    async def _is_server_up(self):
        try:
            _, writer = await asyncio.open_connection(LOOPBACK,
                                                      self.server_port)
        except OSError:
            return False
        writer.close()
        return True

    async def _accept(self, reader, writer):
        try:
            up_reader, up_writer = await asyncio.open_connection(
                LOOPBACK, self.server_port)
        except OSError:
            await self._follow_server()
            writer.transport.abort()
            return
        pair = (writer.transport, up_writer.transport)
        self.transports.update(pair)
        await asyncio.gather(
            self._pump(reader, up_writer, "up", pair),
            self._pump(up_reader, writer, "down", pair))
        self.transports.difference_update(pair)
        self.silenced.difference_update(pair)

    async def _pump(self, reader, writer, direction, pair):
        try:
            await self._forward(reader, writer, direction, pair)
            if direction == "down":
                await self._follow_server()
        finally:
            writer.close()

    async def _forward(self, reader, writer, direction, pair):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.fault.delay:
                    await asyncio.sleep(self.fault.delay)
                while (direction in self.fault.silent
                       or pair[0] in self.silenced):
                    if pair[0].is_closing() or pair[1].is_closing():
                        return
                    await asyncio.sleep(POLL_INTERVAL)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass

    def reset_connections(self):
        for transport in list(self.transports):
            connection = transport.get_extra_info("socket")
            if connection is not None:
                try:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                          RESET_ON_CLOSE)
                except OSError:
                    continue  # The connection is already closed.
            transport.abort()

    def silence_open_connections(self):
        self.silenced.update(self.transports)


class ProxyLoop:
    """Runs proxies on a separate thread; use it in a `with` block."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever,
                                        daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        asyncio.run_coroutine_threadsafe(self._cancel_all(),
                                         self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    @staticmethod
    async def _cancel_all():
        current = asyncio.current_task()
        tasks = [task for task in asyncio.all_tasks() if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def open(self, server_port):
        proxy = Proxy(server_port)
        asyncio.run_coroutine_threadsafe(proxy.open(), self._loop).result()
        return proxy

    def call(self, action):
        """Runs an action on the thread of the proxies."""
        self._loop.call_soon_threadsafe(action)
