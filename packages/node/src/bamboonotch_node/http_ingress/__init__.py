"""HTTP for callers, and the request path as a whole."""

from bamboonotch_node.http_ingress._checks import BadRequestError
from bamboonotch_node.http_ingress._ingress import HttpIngress
from bamboonotch_node.http_ingress._request_path import RequestPath

__all__ = ["BadRequestError", "HttpIngress", "RequestPath"]
