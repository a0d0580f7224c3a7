//! Controllers that hold a process's view of bundles, platform and peers.
