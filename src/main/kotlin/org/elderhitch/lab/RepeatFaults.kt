package org.elderhitch.lab

import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Injects repeated requests and failing tasks. It has random numbers of its own, so that these faults do not change
 * what else a seed draws.
 */
internal class RepeatFaults(seed: Long, private val cluster: SimulatedCluster) {
    private val random = Random(seed xor SEED_SALT)

    suspend fun repeatRequests(fault: Fault) {
        val repeater = cluster.network.repeater
        fault.takeEffect({
            repeater.delays = { if (fault.affectsNext(random)) listOf(randomDelay()) else emptyList() }
        }) { repeater.delays = { emptyList() } }
    }

    suspend fun failTasks(fault: Fault) {
        val affected = HashMap<String, Boolean>()
        fault.takeEffect({
            cluster.failing = { task, _ ->
                cluster.startsOf[task] == 1 && affected.getOrPut(task) { fault.affectsNext(random) }
            }
        }) { cluster.failing = { _, _ -> false } }
    }

    /** As likely below a few seconds as above: a process may be back within a second. */
    private fun randomDelay(): Duration = MIN_DELAY * (MAX_DELAY / MIN_DELAY).pow(random.nextDouble())

    private companion object {
        const val SEED_SALT = 0x2e9ea7L
        val MIN_DELAY = 100.milliseconds
        val MAX_DELAY = 120.seconds
    }
}
