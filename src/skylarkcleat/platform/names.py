"""Names on the infrastructure's wire that more than one module uses."""

from __future__ import annotations

HEARTBEAT_PATH = "/api/instances/{id}/heartbeat"
DEREGISTER_PATH = "/api/instances/{id}/deregister"
CONFIGURATION_PUT_PATH = "/api/config/put"
CONFIGURATION_GET_PATH = "/api/config/get"
START_PATH = "/api/run-start"
STOP_PATH = "/api/run-stop"
HOLD_PATH = "/api/hold"

EXPECTED_INSTANCE_HEADER = "Expected-Instance"
DEADLINE_HEADER = "Deadline-Ms"

JSON = "application/json"
