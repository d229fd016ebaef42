"""Who is in the fleet."""
