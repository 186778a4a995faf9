"""Tests of the commands status, explain, drain and undrain."""

from __future__ import annotations

from twisted.internet import reactor

from bamboonotch_cli.errors import ExitStatus
from tests.support import CommandTestCase


class StatusTest(CommandTestCase):
    """The state of the fleet."""

    async def test_all_members_are_shown(self) -> None:
        """Guards against a member left out of the fleet's status."""
        self.start_nodes(40)
        result = await self.command("status")
        self.assertEqual(result.status, 0)
        self.assertEqual(len(result.json["members"]), 40)
        self.assertTrue(all(member["reachable"] for member in result.json["members"]))

    async def test_wait_ends_when_all_run_the_version(self) -> None:
        """Guards against a wait that ends before every live member runs the version (P9)."""
        nodes = self.start_nodes(3)

        def advance(number: int) -> None:
            nodes[number].version = 2

        for number in range(3):
            reactor.callLater(0.5 * (number + 1), advance, number)
        result = await self.command("status", "--wait", "2", "--timeout", "15")
        self.assertEqual((result.status, result.json["lacking"]), (0, []))
        self.assertTrue(all(node.version == 2 for node in nodes))

    async def test_wait_names_the_member_that_lags(self) -> None:
        """Guards against a timeout that does not say which node is behind."""
        nodes = self.start_nodes(3)
        nodes[0].version = nodes[1].version = 2
        result = await self.command("status", "--wait", "2", "--timeout", "0.5")
        self.assertEqual(result.status, ExitStatus.WAIT_TIMED_OUT)
        self.assertEqual(result.json["lacking"], ["node-2"])
        self.assertIn("explain", result.json["next"])

    async def test_unreachable_live_member_blocks_and_is_named(self) -> None:
        """Guards against a version called in force while a live node cannot be asked."""
        nodes = self.start_nodes(4)
        await nodes[2].close()
        nodes[3].silent = True
        result = await self.command("status", "--wait", "1", "--timeout", "0.2", output="text")
        self.assertEqual(result.status, ExitStatus.WAIT_TIMED_OUT)
        self.assertIn("not running version 1: node-2, node-3", result.output)

    async def test_dead_member_does_not_block(self) -> None:
        """Guards against a wait that a dead node holds up for good."""
        nodes = self.start_nodes(3)
        nodes[2].state = "dead"
        await nodes[2].close()
        result = await self.command("status", "--wait", "1", "--timeout", "5")
        self.assertEqual(result.status, 0, result)

    async def test_member_unknown_to_the_first_node_is_found(self) -> None:
        """Guards against a wait that trusts a node which has just started."""
        nodes = self.start_nodes(3)
        nodes[0].members = nodes[:2]
        nodes[2].version = 0
        result = await self.command("status", "--wait", "1", "--timeout", "0.2")
        self.assertEqual(result.json["lacking"], ["node-2"])

    async def test_first_node_down(self) -> None:
        """Guards against a command that fails while another given node answers."""
        nodes = self.start_nodes(2)
        self.node_addresses = ["127.0.0.1:1", nodes[1].address]
        self.assertEqual((await self.command("status")).status, 0)
        self.node_addresses = ["127.0.0.1:1"]
        result = await self.command("status", "--wait", "1", "--timeout", "0.5")
        self.assertEqual(result.status, ExitStatus.NODE_UNREACHABLE)
        self.assertIn("127.0.0.1:1", result.json["message"])

    async def test_malformed_answers(self) -> None:
        """Guards against a malformed node answer that is believed or ends in a traceback."""
        nodes = self.start_nodes(2)
        nodes[1].answers["/v1/status"] = {"node_id": "node-1", "running_version": "9"}
        result = await self.command("status", "--wait", "1", "--timeout", "0")
        self.assertEqual(result.json["lacking"], ["node-1"])
        nodes[1].answers["/v1/status"] = {**nodes[1].status(), "node_id": "other"}
        result = await self.command("status", "--wait", "1", "--timeout", "0")
        self.assertEqual(result.json["lacking"], ["node-1"])
        for members in ({}, [1], [{}], [{**nodes[0].record(), "state": "odd"}]):
            nodes[0].answers["/v1/members"] = members
            result = await self.command("status")
            self.assertEqual(result.status, ExitStatus.NODE_UNREACHABLE)


class NodeCommandTest(CommandTestCase):
    """Commands to one node."""

    async def test_drain_by_id_and_by_address(self) -> None:
        """Guards against a drain that reaches another node than the one named."""
        nodes = self.start_nodes(2)
        result = await self.command("drain", "node-1")
        self.assertEqual((result.status, result.json["node"]), (0, nodes[1].address))
        self.node_addresses = []
        await self.command("undrain", nodes[1].address)
        self.assertEqual(nodes[1].calls, ["POST /v1/drain", "POST /v1/undrain"])
        self.assertEqual(nodes[0].calls, ["GET /v1/members"])

    async def test_unknown_node(self) -> None:
        """Guards against a drain of an unknown node that reports success."""
        self.start_nodes(1)
        result = await self.command("drain", "node-9", output="text")
        self.assertEqual(result.status, ExitStatus.NOT_FOUND)
        self.assertIn("next: run 'bamboonotch status'", result.errors)
        result = await self.command("drain", "10.0.0.1:99999")
        self.assertEqual(result.status, ExitStatus.USAGE)

    async def test_explain(self) -> None:
        """Guards against a question that reaches the node with other parameters."""
        nodes = self.start_nodes(2)
        commands = (
            (["request", "--method", "POST", "/orders?a=b"], "request?method=POST&path=%2Forders"),
            (["version", "--node", "node-1"], "version"),
            (["events", "--limit", "5", "--prefix", "member"], "events?limit=5&prefix=member"),
        )
        for arguments, uri in commands:
            result = await self.command("explain", *arguments)
            self.assertEqual(result.status, 0)
            asked = nodes[1 if "--node" in arguments else 0].calls[-1]
            self.assertTrue(asked.startswith(f"GET /v1/explain/{uri}"), asked)
