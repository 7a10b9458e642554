"""Runs many idle agents in one process to measure their cost at an entry.

``python -m bench.fake_agents --agents N --heartbeat-s S`` prints ``{"listening":
[port, ...]}``, with one port for each agent.
"""

from __future__ import annotations

import json
from typing import Any

import click
from twisted.internet import protocol, reactor as installed_reactor

from corianderrelay.coordination.periodic import Periodic
from corianderrelay.protocol.messages import PROTOCOL_VERSION, Heartbeat, Hello
from corianderrelay.transport.framed_stream import FramedStream


class _FakeAgent(protocol.Factory):
    """One agent that sends a hello and heartbeats and never runs a request."""

    noisy = False

    def __init__(self, reactor: Any, number: int) -> None:
        self._reactor = reactor
        self._number = number
        self._received_sequence_by_stream: dict[FramedStream, int] = {}
        self._sequence = 0

    def buildProtocol(self, addr: Any) -> FramedStream:
        return FramedStream(self, self._reactor)

    def stream_opened(self, stream: FramedStream) -> None:
        hello = Hello(
            PROTOCOL_VERSION,
            f"agent-{self._number}",
            self._number,
            "oslo-a",
            "agent",
            service="assistant",
            model="kit-model",
            slots=32,
        )
        stream.send(hello)
        self._received_sequence_by_stream[stream] = 0

    def message_received(self, stream: FramedStream, message: Any) -> None:
        if isinstance(message, Heartbeat):
            self._received_sequence_by_stream[stream] = message.sequence

    def stream_closed(self, stream: FramedStream, reason: str) -> None:
        del self._received_sequence_by_stream[stream]

    def send_heartbeats(self) -> None:
        self._sequence += 1
        for stream, echo in self._received_sequence_by_stream.items():
            stream.send(Heartbeat(self._sequence, running=3, queued=1, echo=echo))


@click.command()
@click.option("--agents", default=1)
@click.option("--heartbeat-s", default=1.0)
def main(agents: int, heartbeat_s: float) -> None:
    """Run the agents, each on a port of its own, and send their heartbeats."""
    reactor: Any = installed_reactor
    factories = [_FakeAgent(reactor, number) for number in range(agents)]
    heartbeat_timers = [
        Periodic(reactor, factory.send_heartbeats) for factory in factories
    ]
    for timer in heartbeat_timers:
        timer.start(heartbeat_s)
    ports = [
        reactor.listenTCP(0, factory, interface="127.0.0.1") for factory in factories
    ]
    listening = [port.getHost().port for port in ports]
    print(json.dumps({"listening": listening}), flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
