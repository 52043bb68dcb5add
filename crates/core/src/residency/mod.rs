//! Which zones may hold a tenant's data.
