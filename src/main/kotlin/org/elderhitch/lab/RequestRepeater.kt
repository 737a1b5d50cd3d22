package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.http.Request
import kotlin.time.Duration

/** Delivers requests that were executed and answered once more, as networks and proxies may. */
internal class RequestRepeater(private val simulationScope: CoroutineScope) {
    /** Delays after which a request that was executed and answered arrives once more; empty: it does not. */
    var delays: (Request) -> List<Duration> = { emptyList() }

    /** Number of repeats that reached a receiver. */
    var executed = 0
        private set

    /**
     * Schedules the repeats of a request. Reads are not repeated: they change nothing.
     *
     * @param execute delivers the request, and returns false if nobody listens at the address any more.
     */
    fun schedule(request: Request, execute: suspend () -> Boolean) {
        if (request.method == "GET") return
        for (by in delays(request)) {
            simulationScope.launch {
                delay(by)
                if (execute()) executed++
            }
        }
    }
}
