//! Races of what the node writes with the close of a backend's connection, unsolicited bytes and truncated
//! responses on it. They are tested next to the connection pool, in `src/bin/sillward/backend/tests.rs`.
