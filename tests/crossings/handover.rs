//! Upgrades, restarts and new settings, against requests and calls.
