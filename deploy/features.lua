-- What is switched on beyond the core (docs/design/features.md). `serve --features deploy/features.lua` reads it once, at start;
-- a mistake in it ends the process with exit code 2 and a message that names file, line and key.
return {
  -- Rules of job classes. repeats: whether a job may be submitted again from an earlier one. attempts: how often a task may be
  -- started and fail or be lost before its job is held (`elderhitch explain` says so, `elderhitch release` lets it go on).
  classes = {
    ["route-train"] = { repeats = false, attempts = 5 },
  },

  -- DRMAA (docs/operations/drmaa.md) needs a key file on every controller, so it is not on here:
  -- drmaa = { keys = "/etc/elderhitch/drmaa.keys", networks = { "10.0.0.0/8" }, categories = {} },

  -- Sweeps (docs/operations/sweeps.md). Once there is one, no node serves without this section.
  sweeps = { most_open = 50, table_points = 2000, waiting_points = 64 },
}
