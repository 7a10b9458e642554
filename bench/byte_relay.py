"""Baseline: a plain Twisted TCP relay that copies bytes without parsing them.

``python -m bench.byte_relay --to PORT`` prints ``{"listening": port}``.
"""

from __future__ import annotations

import json
from typing import Any

import click
from twisted.internet import reactor as installed_reactor
from twisted.protocols.portforward import ProxyFactory


@click.command()
@click.option("--to", "ports", type=int, multiple=True, required=True)
def main(ports: tuple[int, ...]) -> None:
    """Listen on a free port and relay connections to the ports in round-robin order."""
    reactor: Any = installed_reactor
    listening = reactor.listenTCP(
        0, _RoundRobinProxyFactory(ports), interface="127.0.0.1"
    )
    print(json.dumps({"listening": listening.getHost().port}), flush=True)
    reactor.run()


class _RoundRobinProxyFactory(ProxyFactory):
    def __init__(self, ports: tuple[int, ...]) -> None:
        super().__init__("127.0.0.1", ports[0])
        self._ports = ports
        self._next_index = 0

    def buildProtocol(self, addr: Any) -> Any:
        self.port = self._ports[self._next_index]
        self._next_index = (self._next_index + 1) % len(self._ports)
        return super().buildProtocol(addr)


if __name__ == "__main__":
    main()
