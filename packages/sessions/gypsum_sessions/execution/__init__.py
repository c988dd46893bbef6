"""Running statements at upstreams: reads, writes, transactions, confirmed commits."""
