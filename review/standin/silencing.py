"""A proxy whose open connections can go silent."""

import asyncio

import rig


class SilencingProxy:
    """Forwards connections to the store. `silence` loses track of those that are
    open: nothing passes on them any more, and neither end is told. New
    connections work."""

    def __init__(self, ip, target):
        self.ip, self.port, self.target = ip, rig.Hosts.port(ip), target
        self.address = f"{ip}:{self.port}"
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        return self

    def silence(self):
        for connection in self.open:
            connection.is_silent = True
        return len(self.open)

    async def serve(self, reader, writer):
        connection = Tracked(asyncio.current_task())
        self.open.add(connection)
        ip, port = self.target.rsplit(":", 1)
        store_reader, store_writer = await asyncio.open_connection(ip, int(port))
        await asyncio.gather(self.pump(connection, reader, store_writer),
                             self.pump(connection, store_reader, writer))
        self.open.discard(connection)
        for each in (writer, store_writer):
            each.close()

    @staticmethod
    async def pump(connection, reader, writer):
        try:
            while data := await reader.read(1 << 18):
                if not connection.is_silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not connection.is_silent:
            writer.close()


class Tracked:
    """A connection that the proxy knows until it is silent."""

    def __init__(self, task):
        self.task, self.is_silent = task, False
