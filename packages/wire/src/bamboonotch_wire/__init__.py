"""Messages between nodes and their protobuf encoding."""
