"""Stand-ins for the platform, its runners, its clients and its operator."""
