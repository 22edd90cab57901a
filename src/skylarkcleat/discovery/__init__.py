"""Peer discovery from a few seeds, log bootstrap and the owner's election."""
