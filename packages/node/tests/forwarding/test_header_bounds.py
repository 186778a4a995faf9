"""Tests of the characters that headers between nodes may hold."""

from __future__ import annotations

import unittest

from bamboonotch_core.errors import MessageError
from bamboonotch_core.settings import RequestSettings
from bamboonotch_node.forwarding._frames import decode_request
from bamboonotch_wire import bamboonotch_pb2 as pb

SETTINGS = RequestSettings()


def is_accepted(name: str, value: str) -> bool:
    """Tell whether a request with a header is accepted."""
    head = pb.RequestHead(request_id="r", method="GET", path="/")
    head.headers.append(pb.Header(name=name, value=value))
    try:
        decode_request(head, b"", SETTINGS)
    except MessageError:
        return False
    return True


class HeaderBoundsTest(unittest.TestCase):
    """Each character in a name and in a value."""

    def test_names(self) -> None:
        """Guards against a name that would start another header or another request."""
        for number in range(512):
            character = chr(number)
            allowed = 0 < number < 128 and character not in "\r\n: "
            for name in (character, f"a{character}", f"{character}a"):
                self.assertEqual(is_accepted(name, "x"), allowed, repr(name))
        self.assertFalse(is_accepted("", "x"))

    def test_values(self) -> None:
        """Guards against a value that would end its header early or cannot be sent."""
        for number in range(512):
            character = chr(number)
            allowed = 0 < number < 256 and character not in "\r\n"
            for value in (character, f"a{character}", f"{character}a"):
                self.assertEqual(is_accepted("a", value), allowed, repr(value))
        self.assertTrue(is_accepted("a", ""))


if __name__ == "__main__":
    unittest.main()
