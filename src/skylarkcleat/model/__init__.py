"""Value types that every role shares."""
