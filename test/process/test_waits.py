"""What a process waits for shows in its log and its metrics."""

import testtools

from pollenwalk.process.gateway_gauges import awaited_processes
from pollenwalk.process.host_table import HostTable
from pollenwalk.process.keeper_metrics import KeeperMetrics
from pollenwalk.process.waits import Waits
from pollenwalk.version.active_configuration import ActiveConfiguration
from test.helper import logged, make_clock, virtual
from test.process.test_keepers import KeeperCluster


class WaitsTest(testtools.TestCase):
    """Changes of a wait."""

    @virtual
    async def test_only_changes_are_logged(self) -> None:
        metrics = KeeperMetrics()
        waits = Waits(make_clock(), metrics.awaited)
        with logged('waiting') as lines, logged('waiting_ended') as ends:
            for names in ('', 'ba', 'ab', 'b', '', ''):
                waits.update('records', names)
        self.assertEqual([['a', 'b'], ['b']], [line['awaited'] for line in lines])
        self.assertEqual(1, len(ends))
        self.assertEqual(0, metrics.awaited.get({'what': 'records'}))

    @virtual
    async def test_incomplete_keeper_names_whom_it_awaits(self) -> None:
        cluster = KeeperCluster()
        await cluster.start_three()
        for name in 'ab':
            await cluster.kill(name)
        cluster.disks['a'].wipe()
        with logged('waiting') as lines:
            keeper = await cluster.start_keeper('a')
            await cluster.wait(4000)
        awaited = [line['awaited'] for line in lines if line['what'] == 'records']
        self.assertEqual(['b'], awaited[-1])
        self.assertEqual(1, keeper.metrics.awaited.get({'what': 'records'}))

    @virtual
    async def test_gateway_without_a_majority_names_the_lost(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        parts = (ActiveConfiguration(), HostTable(cluster.clock), group.links)
        self.assertEqual([], awaited_processes(*parts)['majority'])
        for name in 'ab':
            await cluster.kill(name)
            await group.links.is_complete(group.links.by_name[name])
        awaited = awaited_processes(*parts)
        self.assertEqual(['a', 'b'], sorted(awaited['majority']))
        self.assertEqual(['store'], awaited['configuration'])
