"""The account of every outcome: events, incidents and explanations."""
