"""Many idle agents in one process, for measuring what an entry spends on them.

``python -m bench.fake_agents --heartbeat-s S`` prints ``{"listening": port}``; each
connection is greeted as another agent.
"""

from __future__ import annotations

import itertools
import json
from typing import Any

import click
from twisted.internet import protocol, reactor as installed_reactor

from corianderrelay.coordination.periodic import Periodic
from corianderrelay.protocol.messages import PROTOCOL_VERSION, Heartbeat, Hello
from corianderrelay.transport.framed_stream import FramedStream


class _FakeAgents(protocol.Factory):
    noisy = False

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._numbers = itertools.count()
        self._streams: list[FramedStream] = []
        self._sequence = 0

    def buildProtocol(self, addr: Any) -> FramedStream:
        return FramedStream(self, self._reactor)

    def stream_opened(self, stream: FramedStream) -> None:
        number = next(self._numbers)
        hello = Hello(
            PROTOCOL_VERSION,
            f"agent-{number}",
            number,
            "oslo-a",
            "agent",
            service="assistant",
            model="kit-model",
            slots=32,
        )
        stream.send(hello)
        self._streams.append(stream)

    def message_received(self, stream: FramedStream, message: Any) -> None:
        """Entries' heartbeats need no answer."""

    def stream_closed(self, stream: FramedStream, reason: str) -> None:
        self._streams.remove(stream)

    def beat(self) -> None:
        self._sequence += 1
        for stream in self._streams:
            stream.send(Heartbeat(self._sequence, running=3, queued=1))


@click.command()
@click.option("--heartbeat-s", default=1.0)
def main(heartbeat_s: float) -> None:
    """Greet each connection as an agent and send heartbeats."""
    reactor: Any = installed_reactor
    agents = _FakeAgents(reactor)
    Periodic(reactor, agents.beat).start(heartbeat_s)
    listening = reactor.listenTCP(0, agents, interface="127.0.0.1")
    print(json.dumps({"listening": listening.getHost().port}), flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
