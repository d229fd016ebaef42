"""The runs: each one starts environments, measures them and fills the tables of a report."""
