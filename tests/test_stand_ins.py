"""The stand-ins leave nothing open once they are stopped."""

from __future__ import annotations

import asyncio

from standins.lists import ListService


def test_a_stopped_list_service_has_closed_its_connections() -> None:
    # Guards against connections that are collected, with a warning, during whatever test comes later.
    async def play() -> None:
        service = ListService()
        port = await service.start("agent", {})
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"from 0\n")
        assert await reader.readline() == b"0\n"
        await service.stop()
        async with asyncio.timeout(1.0):
            assert await reader.read() == b""
        writer.close()
        await writer.wait_closed()

    asyncio.run(play())
