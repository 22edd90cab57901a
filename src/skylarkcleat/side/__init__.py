"""The side process: runs beside a runner and sends it starts and stops."""
