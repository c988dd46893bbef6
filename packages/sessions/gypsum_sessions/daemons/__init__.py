"""Other daemons: who they are, statements by way of owners, news of the store."""
