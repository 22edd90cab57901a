"""Messages between processes: one module for each protocol.

Most messages are sent by `wire` under their class name; `subscribing` has its
own codec. Messages are encoded by position, so fields may be renamed but never
reordered.
"""
