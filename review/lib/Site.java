import java.util.List;
import java.util.Map;

/** The settings of mekele-fish-exchange (kit/sites/mekele-fish-exchange.toml): three controllers in three zones. */
final class Site {
    static final String[] NODES = {"stallhand-0", "stallhand-1", "stallhand-2"};
    static final String[] ZONES = {"tana", "hawassa", "ziway"};

    private Site() {
    }

    static Map<String, Object> settings() {
        return Json.of("count", 3, "zones", List.of("hawassa", "tana", "ziway"),
                "teams", List.of(Json.of("name", "floor-desk", "cpus", 0.0, "cpus_max", 0.0, "gpus", 0.0, "gpus_max", 0.0)),
                "objectives", List.of(
                        Json.of("kind", "wait", "class", "catch-scorer", "within_s", 20.0, "share", 0.92),
                        Json.of("kind", "finished", "class", "lot-photo-sort", "within_s", 150.0, "share", 0.93),
                        Json.of("kind", "finished", "class", "lot-photo-sort", "within_s", 250.0, "share", 0.93)),
                "workers", Json.of("report_s", 1.0, "lease_s", 11.0, "gang_wait_s", 45.0, "gang_peer_s", 5.0,
                        "cancel_s", 41.0),
                "state", Json.of("rps", 150.0, "write_rps", 25.0, "value_kb", 8.0, "txn_ops", 8),
                "cloud", Json.of("rps", 6.0, "list_lag_s", 3.0),
                "machine_limits", Json.of("cpu", 0.176, "mem_mb", 153.0, "max_sockets", 600),
                "clock_error_ms", 250.0);
    }

    static final String[] PERTH_NODES = {"sorter-0", "sorter-1", "sorter-2"};
    static final String[] PERTH_ZONES = {"kewdale", "bunbury", "kewdale"};

    /** The settings of perth-mailflow (kit/sites/perth-mailflow.toml): three controllers in two zones. */
    static Map<String, Object> perth() {
        return Json.of("count", 3, "zones", List.of("bunbury", "kewdale"),
                "teams", List.of(
                        Json.of("name", "belt-ops", "cpus", 0.0, "cpus_max", 0.0, "gpus", 72.0, "gpus_max", 224.0),
                        Json.of("name", "route-lab", "cpus", 0.0, "cpus_max", 0.0, "gpus", 48.0, "gpus_max", 500.0),
                        Json.of("name", "depot-control", "cpus", 0.0, "cpus_max", 0.0, "gpus", 120.0, "gpus_max", 368.0)),
                "objectives", List.of(
                        Json.of("kind", "wait", "class", "address-read", "within_s", 5.0, "share", 0.88),
                        Json.of("kind", "wait", "class", "route-train", "within_s", 20.0, "share", 0.82),
                        Json.of("kind", "finished", "class", "route-train", "within_s", 180.0, "share", 0.85)),
                "workers", Json.of("report_s", 3.0, "lease_s", 31.0, "gang_wait_s", 45.0, "gang_peer_s", 5.0,
                        "cancel_s", 51.0),
                "state", Json.of("rps", 250.0, "write_rps", 40.0, "value_kb", 8.0, "txn_ops", 12),
                "cloud", Json.of("rps", 5.0, "list_lag_s", 3.0),
                "machine_limits", Json.of("cpu", 0.33, "mem_mb", 268.0, "max_sockets", 1800),
                "clock_error_ms", 250.0);
    }

    static Map<String, Object> job(String id, String lotClass, String kind, String urgency, int crates, double cores,
            double accelerators, double memGb, double haulS, double tallyS, double stowS) {
        return Json.of("id", id, "lotClass", lotClass, "desk", "floor-desk", "lotKind", kind, "urgency", urgency,
                "crates", crates, "cores", cores, "accelerators", accelerators, "memGb", memGb, "catchImage",
                "img-" + lotClass, "pullGb", 0.5, "rigs", null, "hall", null, "samePlace", false, "spread", false,
                "borrowedRigs", false, "haulS", haulS, "tallyS", tallyS, "stowS", stowS, "closingS", null);
    }
}
