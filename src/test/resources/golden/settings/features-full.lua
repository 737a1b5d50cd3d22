return {
  classes = {
    retouch = { repeats = false, attempts = 6 },
    preview = { attempts = 1000 },
    sorting = {},
  },
  drmaa = {
    keys = "features-keys.txt",
    networks = { "10.3.0.0/16" },
    categories = { quick = { lotClass = "preview", cores = 2 } },
    sessions_per_team = 5,
    results_per_session = 300,
    held_per_team = 7,
    keep_results_days = 1.5,
    keep_sessions_days = 9,
  },
  sweeps = { most_open = 4, table_points = 900, waiting_points = 30 },
}
