"""Leadership of a group: proofs, read floors, leases and replacing a primary."""
