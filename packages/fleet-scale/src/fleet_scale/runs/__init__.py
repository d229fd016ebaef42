"""The runs: each starts environments, measures them and fills the tables of a report."""
