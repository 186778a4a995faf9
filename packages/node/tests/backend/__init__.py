"""Tests of bamboonotch_node.backend over real sockets."""
