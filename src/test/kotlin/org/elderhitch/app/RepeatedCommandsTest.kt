package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.SimulationSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Commands to workers' own addresses that were executed and answered, and arrive once more. */
class RepeatedCommandsTest {
    private fun settings(seed: Long) =
        SimulationSettings(seed, heartbeatIntervalS = 5.0, leaseS = 17.5, maxGpus = 60.0, machinesPerZone = 8)

    private fun CheckedCluster.repeatCommandsAfter(vararg delaySeconds: Int) {
        val delays = delaySeconds.map { it.seconds }
        cluster.network.repeater.delays = { if (it.path == COMMANDS_PATH) delays else emptyList() }
    }

    /** Makes the first start of each of [tasks] fail. Returns the machine on which each has failed. */
    private fun SimulatedCluster.failFirstStarts(vararg tasks: String): Map<String, String> {
        val failed = HashMap<String, String>()
        failing = { task, machine -> task in tasks && failed.putIfAbsent(task, machine) == null }
        return failed
    }

    /** Starts services on several machines, so that later jobs find machines that are up. */
    private suspend fun CheckedCluster.startServices() {
        submit("req-900001", "daemon", 10, 0.0, mapOf("cores" to 20.0))
        untilRunning("req-900001", 10)
        delay(12.seconds)
    }

    private fun CheckedCluster.startsOf(job: String): Map<String, Int> =
        starts.map { it.first }.filter { it.startsWith("$job/") }.groupingBy { it }.eachCount()

    private fun CheckedCluster.assertCommandsWereRepeated() =
        assertTrue(cluster.network.repeater.executed > 0, "no repeats")

    @Test
    fun `a failed task that was started elsewhere does not start again where it failed`() =
        faultScenario(1L..4L, ::settings) {
            startServices()
            val failed = cluster.failFirstStarts("req-1/1", "req-1/5")
            repeatCommandsAfter(2, 6, 20, 50)
            submit("req-1", "array", 8, 90.0)
            cluster.until("all run", 60.seconds) { startsOf("req-1").values.sum() >= 10 }
            delay(60.seconds)
            assertEquals(2, failed.size)
            assertEquals(10, startsOf("req-1").values.sum())
            assertCommandsWereRepeated()
        }

    @Test
    fun `a task that was moved off a machine with a spot notice does not start there again`() =
        faultScenario(1L..4L, ::settings) {
            startServices()
            repeatCommandsAfter(8, 20, 50)
            submit("req-1", "array", 8, 120.0, mapOf("tallyS" to 15.0, "stowS" to 1.0))
            untilRunning("req-1", 8)
            val drained = hosts("req-1").values.toSet()
            drained.forEach { cluster.platform.workers().getValue(it).notice = 300.seconds }
            cluster.until("all run elsewhere", 60.seconds) {
                hosts("req-1").let { it.size == 8 && it.values.none(drained::contains) }
            }
            delay(60.seconds)
            assertEquals(List(8) { 2 }, startsOf("req-1").values.toList())
            assertCommandsWereRepeated()
        }

    @Test
    fun `a task that was preempted does not start again where it was`() = faultScenario(1L..4L, { seed ->
        SimulationSettings(seed, heartbeatIntervalS = 5.0, leaseS = 17.5, maxGpus = 200.0, machinesPerZone = 2)
    }) {
        submit("req-900001", "daemon", 4, 0.0, mapOf("cores" to 1.0, "spread" to true))
        untilRunning("req-900001", 4)
        delay(70.seconds)
        repeatCommandsAfter(8, 25, 40, 50, 60, 70, 80, 90)
        submit("req-1", "array", 44, 150.0, mapOf("urgency" to "idle", "cores" to 8.0, "accelerators" to 0.0))
        cluster.until("no room is left", 90.seconds) { running("req-1") >= 40 }
        submit("req-2", "daemon", 8, 0.0, mapOf("cores" to 20.0, "urgency" to "production"))
        untilRunning("req-2", 8)
        delay(15.seconds)
        cancel("req-2", cluster.names[0])
        delay(70.seconds)
        assertTrue(startsOf("req-1").values.any { it > 1 }, "no task was preempted and started again")
        assertCommandsWereRepeated()
    }

    @Test
    fun `a cancelled task does not start again after its user was told`() = faultScenario(1L..4L, ::settings) {
        startServices()
        repeatCommandsAfter(5, 30, 60)
        submit("req-1", "daemon", 8, 0.0)
        untilRunning("req-1", 8)
        cancel("req-1", cluster.names[0])
        delay(cancelLimit + 20.seconds)
        assertEquals(0, checker.startsWithdrawn)
        assertEquals(0, running("req-1"))
        assertCommandsWereRepeated()
    }

    @Test
    fun `a task that is done does not start again`() = faultScenario(1L..4L, ::settings) {
        startServices()
        repeatCommandsAfter(15, 30, 60)
        submit("req-1", "array", 8, 4.0)
        cluster.until("done", 30.seconds) { cluster.jobState("req-1") == "done" }
        delay(70.seconds)
        assertEquals(List(8) { 1 }, startsOf("req-1").values.toList())
        assertCommandsWereRepeated()
    }

    @Test
    fun `a gang member that was replaced under the same attempt does not start where it was refused before`() =
        faultScenario(1L..6L, { seed ->
            SimulationSettings(
                seed,
                heartbeatIntervalS = 5.0,
                leaseS = 17.5,
                maxGpus = 80.0,
                machinesPerZone = 8,
                imageFetchGbPerS = 0.5,
            )
        }) {
            startServices()
            val refused = ArrayList<String>()
            cluster.lacksRoom = { task, machine -> task == "req-1/1" && refused.isEmpty() && refused.add(machine) }
            repeatCommandsAfter(2, 13, 15, 17, 19, 21, 23, 25, 29, 33, 50)
            submit("req-1", "gang", 4, 60.0)
            cluster.until("the gang is done", 200.seconds) { cluster.jobState("req-1") == "done" }
            delay(60.seconds)
            assertEquals(1, refused.size)
            assertCommandsWereRepeated()
        }

    /** The protocol doesn't say whether a worker starts another attempt of a task whose first one it still lists. */
    @Test
    fun `a task that only one machine may run starts there again after it failed`() {
        for (refuses in listOf(false, true)) {
            faultScenario(1L..3L, { seed ->
                SimulationSettings(
                    seed,
                    heartbeatIntervalS = 5.0,
                    leaseS = 17.5,
                    zones = listOf("a"),
                    machinesPerZone = 1,
                    refusesBesideExited = refuses,
                )
            }) {
                val oneMachine = mapOf("borrowedRigs" to false)
                submit("req-900001", "daemon", 2, 0.0, oneMachine)
                untilRunning("req-900001", 2)
                delay(12.seconds)
                val failed = cluster.failFirstStarts("req-1/1")
                repeatCommandsAfter(2, 6, 20, 50, 310, 320, 340)
                submit("req-1", "array", 4, 500.0, oneMachine)
                // A job avoids a machine on which one of its tasks failed for 300 s.
                cluster.until("all run", 330.seconds) { failed.isNotEmpty() && running("req-1") == 4 }
                delay(60.seconds)
                assertEquals(5, startsOf("req-1").values.sum())
                assertTrue(cluster.refusedAt.isEmpty(), "a start was refused")
                assertCommandsWereRepeated()
            }
        }
    }

    /** Repeats everything at two moments, the latest commands first, and then in the order in which they were sent. */
    @Test
    fun `commands that all arrive again in the reverse order change nothing`() = faultScenario(1L..4L, ::settings) {
        startServices()
        val reversedAt = cluster.clock.now() + 60.seconds
        var sent = 0
        cluster.network.repeater.delays = { request ->
            val remaining = reversedAt - cluster.clock.now()
            if (request.path == COMMANDS_PATH &&
                remaining.isPositive()
            ) {
                repeatsAround(remaining, sent++)
            } else {
                emptyList()
            }
        }
        cluster.failFirstStarts("req-1/1", "req-1/5")
        submit("req-1", "array", 8, 12.0)
        submit("req-2", "daemon", 6, 0.0)
        submit("req-3", "daemon", 6, 0.0)
        untilRunning("req-3", 6)
        cancel("req-3", cluster.names[1])
        val drained = hosts("req-2").values.first()
        cluster.platform.workers().getValue(drained).notice = 300.seconds
        cluster.until("done", 50.seconds) { cluster.jobState("req-1") == "done" }
        delay(reversedAt - cluster.clock.now())
        val before = starts.size
        delay(20.seconds)
        assertEquals(before, starts.size, "started again")
        assertCommandsWereRepeated()
    }

    private fun repeatsAround(remaining: Duration, index: Int): List<Duration> =
        listOf(remaining + STEP * (MAX_COMMANDS - index), remaining + 10.seconds + STEP * index)

    @Test
    fun `a successor starts no task that its predecessor's commands start again`() {
        for (backAfter in listOf(null, 300.milliseconds)) {
            for (reapedBefore in listOf(false, true)) {
                faultScenario(1L..3L, ::settings) { successorScenario(backAfter, reapedBefore) }
            }
        }
    }

    /**
     * The leader crashes once tasks have failed, before or after their records are dropped, while their machines reach
     * no controller. [backAfter]: when its process is back; null: later than another controller leads.
     */
    private suspend fun CheckedCluster.successorScenario(backAfter: Duration?, reapedBefore: Boolean) {
        startServices()
        val failed = cluster.failFirstStarts("req-1/1", "req-1/5")
        repeatCommandsAfter(8, 12, 20, 50)
        submit("req-1", "array", 8, 90.0)
        cluster.until("failed", 40.seconds) { failed.size == 2 }
        if (reapedBefore) delay(6.seconds)
        cluster.silentWorkers = failed.values.toSet()
        val leader = assertNotNull(cluster.leader())
        cluster.crash(leader)
        if (backAfter == null) awaitSuccessor(leader, 30.seconds) else delay(backAfter)
        cluster.startNode(leader)
        delay(12.seconds)
        cluster.silentWorkers = emptySet()
        cluster.until("all run", 90.seconds) { running("req-1") == 8 }
        delay(50.seconds)
        assertCommandsWereRepeated()
    }

    @Test
    fun `commands of a leader that was suspended before sending them start no task twice`() =
        faultScenario(1L..4L, ::settings) {
            startServices()
            cluster.failFirstStarts("req-1/1", "req-1/5")
            repeatCommandsAfter(3, 20, 50)
            var late = 0
            cluster.lateCommands = { if (late++ % 2 == 0) (1 + late % 15).seconds else null }
            submit("req-1", "array", 12, 90.0)
            delay(3.seconds)
            val leader = assertNotNull(cluster.leader())
            cluster.pauseNode(leader)
            awaitSuccessor(leader, 30.seconds)
            delay(5.seconds)
            cluster.resumeNode(leader)
            cluster.until("all run", 90.seconds) { running("req-1") == 12 }
            delay(55.seconds)
            assertCommandsWereRepeated()
        }

    /** The workers' leases hold throughout: a delegate answers them whatever token they have seen. */
    @Test
    fun `a lease delegate answers workers whose tasks failed before the partition`() = faultScenario(1L..4L, { seed ->
        SimulationSettings(
            seed,
            heartbeatIntervalS = 5.0,
            leaseS = 24.0,
            maxGpus = 400.0,
            machinesPerZone = 30,
            nodeZones = listOf("a", "a", "b"),
        )
    }) {
        submit("req-900001", "daemon", 24, 0.0, mapOf("cores" to 40.0, "spread" to true))
        untilRunning("req-900001", 24)
        ensureFollower("n2")
        delay(20.seconds)
        cluster.failFirstStarts("req-1/1", "req-1/5", "req-1/30", "req-1/45")
        repeatCommandsAfter(2, 20, 50)
        submit("req-1", "array", 60, 2.0)
        cluster.until("done", 60.seconds) { cluster.jobState("req-1") == "done" }
        delay(10.seconds)
        val before = hosts("req-900001")
        val cut = cut(CutMode.HOLD) { from, to -> (cluster.zoneOf(from) == "b") != (cluster.zoneOf(to) == "b") }
        delay(34.seconds)
        assertEquals(before, hosts("req-900001"), "at the end of the partition")
        cluster.network.heal(cut)
        delay(40.seconds)
        assertEquals(before, hosts("req-900001"), "after the partition")
        assertEquals(0, cluster.leaseExpirations)
        assertCommandsWereRepeated()
    }

    private companion object {
        const val COMMANDS_PATH = "/do"

        /** More than a scenario sends. */
        const val MAX_COMMANDS = 1000
        val STEP = 1.milliseconds
    }
}
