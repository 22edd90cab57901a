"""The control process: keeps the state that must survive."""
