//! Attempts that end as another begins, a window ends or the settings change.
