//! SIGTERM and closes, against what clients send.
