"""Stand-ins and helpers for the cases 6 to 10."""
