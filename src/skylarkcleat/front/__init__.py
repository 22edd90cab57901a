"""The front: takes jobs from callers; the one that leads owns them all."""
