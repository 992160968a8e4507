"""Tests of the ports that servers of tests get."""

import socket
import subprocess
import sys

import testtools

from pollenwalk.connection.http_server import free_port
from pollenwalk.connection.port_blocks import (
    BLOCK_PORTS,
    LOOPBACK,
    PortBlocks,
    PortRange,
    ephemeral_range,
    server_blocks,
)
from test.run import ROOT

# Takes ports in a process of its own, which lives until its input ends.
TAKE_PORTS = (
    'from pollenwalk.connection.http_server import free_port\n'
    'print(*[free_port() for _ in range(150)], flush=True)\n'
    'input()\n'
)


class PortBlocksTest(testtools.TestCase):
    """Ports must stay free until a server binds them."""

    def test_ports_are_outside_the_ephemeral_range(self) -> None:
        # Guards against a port that an outgoing connection takes before its server.
        ephemeral = ephemeral_range()
        ports = [free_port() for _ in range(BLOCK_PORTS + 1)]
        self.assertEqual(len(ports), len(set(ports)))
        for port in ports:
            self.assertFalse(ephemeral.first <= port <= ephemeral.last, port)

    def test_concurrent_processes_get_different_ports(self) -> None:
        # Guards against two test runs that choose the same port at the same time.
        processes = [
            subprocess.Popen(
                [sys.executable, '-c', TAKE_PORTS],
                cwd=ROOT.parent,
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
            )
            for _ in range(3)
        ]
        ports = [
            int(one) for each in processes for one in each.stdout.readline().split()
        ]
        for process in processes:
            process.communicate(b'\n')
        self.assertEqual(450, len(set(ports)))

    def test_used_port_is_not_given(self) -> None:
        block = server_blocks(ephemeral_range())[-1]
        ports = PortBlocks([block], 0)
        first = ports.take()
        with socket.socket() as server:
            server.bind((LOOPBACK, first + 1))
            self.assertNotEqual(first + 1, ports.take())

    def test_blocks_lie_on_both_sides(self) -> None:
        blocks = server_blocks(PortRange(32_768, 60_999))
        self.assertEqual(PortRange(10_000, 10_099), blocks[0])
        self.assertTrue(all(one.last < 32_768 or one.first > 60_999 for one in blocks))
        self.assertTrue(any(one.first > 60_999 for one in blocks))
        self.assertEqual([], server_blocks(PortRange(1024, 65_535)))
