"""What a router may do in each mode."""
