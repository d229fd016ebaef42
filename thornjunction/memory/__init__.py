"""What is kept while the program runs: numbered slots and one ordered structure of deadlines."""
