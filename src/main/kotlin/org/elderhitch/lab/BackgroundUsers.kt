package org.elderhitch.lab

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.time.MonotonicInstant
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Other users, who submit a job every [SUBMIT_INTERVAL]. Measures the latency of the answers. */
internal class BackgroundUsers(private val cluster: SimulatedCluster) {
    private val latencies = ArrayList<Pair<MonotonicInstant, Duration>>()
    private var n = 0

    /** Only submissions that begin in this time are counted. */
    var measuredFrom: MonotonicInstant = MonotonicInstant.NEVER
    var measuredUntil: MonotonicInstant = MonotonicInstant.FOREVER

    suspend fun run(scope: CoroutineScope) {
        while (true) {
            scope.launch {
                val began: MonotonicInstant = cluster.clock.now()
                val body =
                    ClassArchiveTraining.exampleJob("req-other-${n++}", "array") +
                        mapOf("crates" to 1, "haulS" to 2.0)
                cluster.ask("POST", "/work", body)
                latencies.add(began to cluster.clock.now() - began)
            }
            delay(SUBMIT_INTERVAL)
        }
    }

    /** The 99th percentile of the latencies that count, in milliseconds; null: there are none. */
    fun p99(): Long? {
        val sorted = latencies.filter { it.first in measuredFrom..<measuredUntil }.map { it.second }.sorted()
        return sorted.getOrNull(ceil(sorted.size * P99).toInt() - 1)?.inWholeMilliseconds
    }

    private companion object {
        const val P99 = 0.99
        val SUBMIT_INTERVAL = 500.milliseconds
    }
}
