"""Who leads a group: proofs, floors, leases, and replacing a primary."""
