"""The admin endpoint for operators."""
