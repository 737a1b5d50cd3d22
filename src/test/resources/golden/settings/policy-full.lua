local minute = 60
return {
  headroom_s = minute / 4,
  spare_machines = 2.5,
  return_after_s = 90,
  return_surplus_after_s = 12,
  return_spot_after_s = 2 * minute,
  silent_return_share = 0.4,
  use_spot = false,
}
