package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.lab.WorldSettings
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Jobs of one task, four a second for five minutes, a quarter of them withdrawn (`docs/design/fault-scenarios.md`). */
class SmallJobsLoadTest {
    /** With as many writes as the smallest deployment may make, 25 a second; a crash and an outage in the middle. */
    @Test
    fun `one-task jobs four a second through a crash and an outage`() = faultScenario(1L..2L, {
        WorldSettings(
            it,
            reportS = 3.0,
            leaseS = 17.5,
            mostGpus = 200.0,
            machinesPerZone = 12,
            requestsPerS = 150.0,
            writesPerS = 25.0,
        )
    }) { seed ->
        val random = Random(seed)
        var open = 0
        val given = ArrayList<String>()
        cluster.outside.launch {
            while (true) {
                for (id in given.filter {
                    rules.finalOf(it) == null
                }.shuffled(random).take(8)) {
                    cluster.outside.launch {
                        poll(id, cluster.names.filter(cluster::isUp).random(random))
                    }
                }
                delay(1.seconds)
            }
        }
        repeat(1200) { n ->
            cluster.outside.launch {
                open++
                val id = "req-$n"
                submit(id, "array", 1, 2.0 + random.nextInt(8))
                given.add(id)
                if (n % 4 == 0) {
                    // At once, while it runs, or about when it ends.
                    delay(
                        listOf(
                            random.nextInt(1, 50),
                            random.nextInt(1000, 4000),
                            random.nextInt(3000, 12_000),
                        ).random(random).milliseconds,
                    )
                    while (rules.finalOf(id) == null) {
                        requestCancellation(id, cluster.names.filter(cluster::isUp).random(random))
                        delay(500.milliseconds)
                    }
                }
            }
            if (n == 480) {
                cluster.leader()?.let { led ->
                    cluster.crash(led)
                    cluster.outside.launch {
                        delay(5.seconds)
                        cluster.startNode(led)
                    }
                }
            }
            if (n == 720) {
                cluster.outside.launch {
                    cluster.platform.state.down = true
                    delay(20.seconds)
                    cluster.platform.state.down = false
                }
            }
            delay(250.milliseconds)
        }
        rules.troublesOver()
        val began = cluster.clock.now()
        cluster.until("the backlog drains", 120.seconds) {
            given.filter { rules.finalOf(it) == null }.take(20).forEach { poll(it, cluster.names.random(random)) }
            given.size == open && given.all { rules.finalOf(it) != null }
        }
        assertEquals(1200, given.size, "all were accepted")
        val cancelled = given.count { rules.finalOf(it) == "withdrawn" }
        assertTrue(cancelled > 150, "seed $seed: $cancelled withdrawn")
        assertTrue(cluster.clock.now() - began < 60.seconds, "seed $seed: drained after ${cluster.clock.now() - began}")
    }
}
