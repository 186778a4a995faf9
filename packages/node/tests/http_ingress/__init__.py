"""Tests of bamboonotch_node.http_ingress over real sockets."""
