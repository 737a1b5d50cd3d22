package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.lab.SimulationSettings
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Jobs of one task, four a second for five minutes, a quarter of them cancelled (`docs/design/fault-scenarios.md`). */
class SmallJobsLoadTest {
    /** At the write limit of the smallest deployment, 25 a second, with a crash and an outage in the middle. */
    @Test
    fun `four one-task jobs a second during a crash and an outage`() = faultScenario(1L..2L, {
        SimulationSettings(
            it,
            heartbeatIntervalS = 3.0,
            leaseS = 17.5,
            maxGpus = 200.0,
            machinesPerZone = 12,
            requestsPerS = 150.0,
            writesPerS = 25.0,
        )
    }) { seed ->
        val random = Random(seed)
        var open = 0
        val accepted = ArrayList<String>()
        cluster.simulationScope.launch {
            while (true) {
                for (id in accepted.filter {
                    checker.terminalStateOf(it) == null
                }.shuffled(random).take(8)) {
                    cluster.simulationScope.launch {
                        poll(id, cluster.names.filter(cluster::isUp).random(random))
                    }
                }
                delay(1.seconds)
            }
        }
        repeat(1200) { n ->
            cluster.simulationScope.launch {
                open++
                val id = "req-$n"
                submit(id, "array", 1, 2.0 + random.nextInt(8))
                accepted.add(id)
                if (n % 4 == 0) {
                    // Cancelled right after its submission, while it runs, or about when it ends.
                    delay(
                        listOf(
                            random.nextInt(1, 50),
                            random.nextInt(1000, 4000),
                            random.nextInt(3000, 12_000),
                        ).random(random).milliseconds,
                    )
                    while (checker.terminalStateOf(id) == null) {
                        requestCancellation(id, cluster.names.filter(cluster::isUp).random(random))
                        delay(500.milliseconds)
                    }
                }
            }
            if (n == 480) {
                cluster.leader()?.let { leader ->
                    cluster.crash(leader)
                    cluster.simulationScope.launch {
                        delay(5.seconds)
                        cluster.startNode(leader)
                    }
                }
            }
            if (n == 720) {
                cluster.simulationScope.launch {
                    cluster.platform.state.down = true
                    delay(20.seconds)
                    cluster.platform.state.down = false
                }
            }
            delay(250.milliseconds)
        }
        checker.faultsEnded()
        val began = cluster.clock.now()
        cluster.until("the backlog drains", 120.seconds) {
            accepted.filter { checker.terminalStateOf(it) == null }.take(20).forEach {
                poll(it, cluster.names.random(random))
            }
            accepted.size == open && accepted.all { checker.terminalStateOf(it) != null }
        }
        assertEquals(1200, accepted.size, "all jobs were accepted")
        val cancelledCount = accepted.count { checker.terminalStateOf(it) == "withdrawn" }
        assertTrue(cancelledCount > 150, "seed $seed: $cancelledCount cancelled")
        assertTrue(cluster.clock.now() - began < 60.seconds, "seed $seed: drained after ${cluster.clock.now() - began}")
    }
}
