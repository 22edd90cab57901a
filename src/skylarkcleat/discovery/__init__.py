"""How processes find each other, starting from a few seeds."""
