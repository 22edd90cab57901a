"""Jobs of resource-sized tasks, placed on runners by one owner."""
