//! Layer-4 routing decisions: connection ids, rendezvous hashing and the tunnel header.
