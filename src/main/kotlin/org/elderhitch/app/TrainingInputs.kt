package org.elderhitch.app

/** The settings and jobs of [ClassArchiveTraining], in their wire formats. */
internal object TrainingInputs {
    /** The number of ports that [settings] requires. */
    const val PORT_COUNT = 5

    private val jobTemplate: Map<String, Any?> = linkedMapOf(
        "id" to null,
        "lotClass" to "example",
        "desk" to "team",
        "lotKind" to null,
        "urgency" to "normal",
        "crates" to 2,
        "cores" to 4.0,
        "accelerators" to 1.0,
        "memGb" to 8.0,
        "catchImage" to "img-1",
        "pullGb" to 1.0,
        "rigs" to null,
        "hall" to null,
        "samePlace" to false,
        "spread" to false,
        "borrowedRigs" to true,
        "haulS" to 1.0,
        "tallyS" to 0.0,
        "stowS" to 0.0,
        "closingS" to null,
    )

    private val team: Map<String, Any?> =
        linkedMapOf("name" to "team", "cpus" to 0.0, "cpus_max" to 0.0, "gpus" to 0.0, "gpus_max" to 64.0)

    private val platformSettings: Map<String, Any?> = linkedMapOf(
        "zones" to listOf("a", "b"),
        "teams" to listOf(team),
        "workers" to linkedMapOf(
            "report_s" to 0.5,
            "lease_s" to 10.0,
            "gang_wait_s" to 30.0,
            "gang_peer_s" to 5.0,
            "cancel_s" to 40.0,
        ),
        "state" to linkedMapOf("rps" to 200.0, "write_rps" to 50.0, "value_kb" to 8.0, "txn_ops" to 8),
        "cloud" to linkedMapOf("rps" to 10.0, "list_lag_s" to 1.0),
    )

    /** A job of two short tasks. */
    fun job(id: String, kind: String): Map<String, Any?> = LinkedHashMap(jobTemplate).apply {
        put("id", id)
        put("lotKind", kind)
    }

    /**
     * The settings of a controller on loopback. Its only peer isn't running, so that the training covers failed calls.
     */
    fun settings(ports: List<Int>): Map<String, Any?> {
        val addresses = ports.map { "127.0.0.1:$it" }.iterator()
        return linkedMapOf(
            "node_name" to "training-0",
            "zone" to "a",
            "client_listen" to addresses.next(),
            "cluster_listen" to addresses.next(),
            "known" to listOf(
                linkedMapOf("node_name" to "training-1", "zone" to "b", "address" to addresses.next()),
            ),
            "external" to linkedMapOf("cloud" to addresses.next(), "state" to addresses.next()),
            "settings" to platformSettings,
        )
    }
}
