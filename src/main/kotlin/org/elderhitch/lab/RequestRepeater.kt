package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.http.Request
import kotlin.time.Duration

/** Who sends a request to whom. */
internal enum class Hop {
    /** A worker's heartbeat to a controller. */
    HEARTBEAT,

    /** A controller's commands to a worker. */
    COMMANDS,

    /** A request between controllers. */
    PEER,

    /** A controller's request to the state service. */
    STATE,

    /** A controller's request to the cloud. */
    CLOUD,

    /** A user's request to a controller. */
    USER,
}

/** Delivers requests that were executed and answered once more, as networks and proxies may. */
internal class RequestRepeater(private val simulationScope: CoroutineScope) {
    /** Delays after which a request that was executed and answered arrives once more; empty: it does not. */
    var delays: (Hop, Request) -> List<Duration> = { _, _ -> emptyList() }

    /** Number of repeats that reached a receiver. */
    var executed = 0
        private set

    /**
     * Schedules the repeats of a request. Reads are not repeated: they change nothing.
     *
     * @param execute delivers the request, and returns false if nobody listens at the address any more.
     */
    fun schedule(hop: Hop, request: Request, execute: suspend () -> Boolean) {
        if (request.method == "GET") return
        for (by in delays(hop, request)) {
            simulationScope.launch {
                delay(by)
                if (execute()) executed++
            }
        }
    }
}
