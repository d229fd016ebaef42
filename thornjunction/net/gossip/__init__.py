"""Exchange of used token identifiers between routers."""
