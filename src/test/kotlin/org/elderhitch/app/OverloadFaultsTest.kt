package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.SimulationSettings
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Overload, a cluster without a leader, and jobs that are bound to one zone (`docs/design/fault-scenarios.md`). */
class OverloadFaultsTest {
    private val large = mapOf("cores" to 24.0)

    /**
     * Twelve machines, jobs for thirty, and images that take most of a minute to fetch: urgent jobs start first, and
     * the others, the largest included, once there is capacity.
     */
    @Test
    fun `more jobs than capacity, urgent and not, over slow links while a leader and machines are lost`() =
        faultScenario(1L..3L, {
            SimulationSettings(it, heartbeatIntervalS = 3.0, leaseS = 17.5, maxGpus = 1000.0, imageFetchGbPerS = 0.2)
        }) { seed ->
            val random = Random(seed)
            fun image(n: Int) = mapOf("catchImage" to "img-$n", "pullGb" to 4.0)
            submit(
                "req-0",
                "daemon",
                8,
                0.0,
                large + image(0) + mapOf("urgency" to "production", "spread" to true, "borrowedRigs" to false),
            )
            repeat(6) {
                submit(
                    "req-1$it",
                    "array",
                    30,
                    20.0,
                    mapOf("cores" to 12.0, "urgency" to "idle") + image(it % 3),
                )
            }
            submit(
                "req-2",
                "gang",
                3,
                20.0,
                mapOf("cores" to 40.0, "urgency" to "urgent", "samePlace" to true) + image(4),
            )
            submit("req-3", "array", 12, 15.0, mapOf("cores" to 12.0, "urgency" to "urgent") + image(5))
            delay(random.nextInt(5, 40).seconds)
            cluster.leader()?.let {
                cluster.crash(it)
                delay(4.seconds)
                cluster.startNode(it)
            }
            hosts("req-10").values.toSet().sorted().take(2).forEach(cluster.platform::kill)
            cluster.until("the urgent jobs are done", 240.seconds) {
                for (id in listOf("req-2", "req-3")) poll(id, cluster.names.random(random))
                checker.terminalStateOf("req-2") == "done" && checker.terminalStateOf("req-3") == "done"
            }
            checker.faultsEnded()
            cluster.until("all tasks of the service run", 120.seconds) { running("req-0") == 8 }
            cluster.until("the other jobs are done", 1200.seconds) {
                repeat(6) { poll("req-1$it", cluster.names.random(random)) }
                (0..5).all { checker.terminalStateOf("req-1$it") == "done" }
            }
        }

    /**
     * Every lease ends. Afterwards the tasks of open jobs are started once, those of cancelled and completed jobs
     * aren't, and all requests are answered.
     */
    @Test
    fun `all controllers are down for longer than a lease`() = faultScenario(1L..4L) { seed ->
        val random = Random(seed)
        submit("req-1", "daemon", 6, 0.0, large + ("spread" to true))
        submit("req-2", "array", 8, 30.0)
        submit("req-3", "array", 4, 3.0)
        submit("req-4", "array", 8, 300.0)
        untilRunning("req-1", 6)
        cluster.until("req-3 is done", 60.seconds) {
            poll("req-3", cluster.names[0])
            checker.terminalStateOf("req-3") == "done"
        }
        cancel("req-4", cluster.names.random(random))
        // When the last controller crashes, some tasks of the job have not been sent their stop, or have not ended yet.
        delay(random.nextInt(0, 3000).milliseconds)
        cluster.names.forEach(cluster::crash)
        delay((18 + random.nextInt(0, 40)).seconds)
        assertEquals(0, running("req-1"), "all leases have ended")
        cluster.names.shuffled(random).forEach {
            cluster.startNode(it)
            delay(random.nextInt(0, 8000).milliseconds)
        }
        checker.faultsEnded()
        cluster.until("all tasks of the service run", 45.seconds) { running("req-1") == 6 }
        cluster.until("the array is done", 90.seconds) {
            poll("req-2", cluster.names.random(random))
            checker.terminalStateOf("req-2") == "done"
        }
        for (node in cluster.names) for (id in listOf("req-3", "req-4")) assertEquals(200, poll(id, node))
        delay(cancelLimit)
        assertEquals(0, running("req-4") + running("req-3"))
    }

    /**
     * Half of the zone's machines die, and again while the leader changes. The jobs start in no other zone, wait, and
     * run on machines that are provisioned in their zone.
     */
    @Test
    fun `jobs that are bound to one zone lose machines`() = faultScenario(1L..4L) { seed ->
        val random = Random(seed)
        val bound = mapOf("hall" to "b")
        submit("req-1", "daemon", 4, 0.0, large + bound)
        submit("req-2", "array", 12, 25.0, mapOf("cores" to 12.0) + bound)
        submit("req-3", "gang", 2, 25.0, mapOf("cores" to 40.0, "samePlace" to true) + bound)
        submit("req-4", "array", 12, 25.0)
        untilRunning("req-1", 4)
        repeat(2) {
            delay(random.nextInt(2, 12).seconds)
            val zoneMachines = cluster.platform.workers().keys.filter { cluster.machine(it)?.zone == "b" }.sorted()
            zoneMachines.filterIndexed { n, _ -> n % 2 == 0 }.forEach(cluster.platform::kill)
            val leader = assertNotNull(cluster.leader())
            if (random.nextBoolean()) {
                cluster.crash(leader)
                delay(3.seconds)
                cluster.startNode(leader)
            }
        }
        checker.faultsEnded()
        cluster.until("all tasks of the service run", 90.seconds) { running("req-1") == 4 }
        cluster.until("all done", 200.seconds) {
            (2..4).all {
                poll("req-$it", cluster.names.random(random)) == 200 &&
                    checker.terminalStateOf("req-$it") == "done"
            }
        }
        assertTrue(
            starts.filter {
                !it.first.startsWith("req-4/")
            }.all { cluster.machine(it.second)?.zone == "b" },
            "a task started in another zone",
        )
    }
}
