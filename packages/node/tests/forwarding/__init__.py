"""Tests of bamboonotch_node.forwarding over real sockets."""
