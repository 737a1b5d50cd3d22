package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.jobs.TaskLimits
import org.elderhitch.jobs.UnusualAmounts
import org.junit.jupiter.api.Timeout
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Jobs with amounts of 0, far below any useful share, or huge are accepted, and controllers go on answering and
 * scheduling. Guards against submissions that keep all controllers from answering
 * (`docs/incidents/amounts-of-zero.md`).
 *
 * `-Damounts.seeds=N` runs the random mixes with the seeds from 1 to N.
 */
@Timeout(value = 4, unit = TimeUnit.MINUTES, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class UnusualAmountsTest {
    private val seeds = 1L..(System.getProperty("amounts.seeds")?.toLong() ?: 6L)
    private val nothing = mapOf("cores" to 0.0, "accelerators" to 0.0, "memGb" to 0.0)

    private suspend fun CheckedCluster.assertAllAnswer(id: String, context: String) {
        for (node in cluster.names.filter(cluster::isUp)) {
            assertEquals(200, assertNotNull(poll(id, node), "$context: $node gives no answer about $id"), context)
        }
    }

    @Test
    fun `services without amounts run, and so do jobs that were there before and come later`() = faultScenario(1L..2L) {
        submit("req-1", "daemon", 2, 0.0)
        untilRunning("req-1", 2)
        submit("req-2", "daemon", 1, 0.0, nothing + mapOf("lotClass" to "one", "urgency" to "production"))
        submit("req-3", "daemon", 1, 0.0, nothing + mapOf("lotClass" to "two", "urgency" to "production"))
        submit("req-4", "array", 3, 5.0)
        cluster.until("the array completes", 60.seconds) { cluster.jobState("req-4") == "done" }
        untilRunning("req-2", 1)
        untilRunning("req-3", 1)
        untilRunning("req-1", 2)
        assertAllAnswer("req-1", "afterwards")
        cancel("req-2", "n1")
        cluster.until("the cancelled service ends", 60.seconds) { running("req-2") == 0 }
    }

    /** The jobs are recorded, so that controllers meet them again after a restart. */
    @Test
    fun `controllers that start with recorded jobs without amounts answer and run them`() = faultScenario(1L..2L) {
        submit("req-1", "daemon", 2, 0.0)
        submit("req-2", "daemon", 1, 0.0, nothing + mapOf("lotClass" to "one", "urgency" to "production"))
        submit("req-3", "array", 2, 3.0, nothing + ("pullGb" to 0.0))
        cluster.names.forEach(cluster::crash)
        delay(5.seconds)
        cluster.names.forEach(cluster::startNode)
        cluster.until("a node leads", 30.seconds) { cluster.leader() != null }
        untilRunning("req-1", 2)
        untilRunning("req-2", 1)
        cluster.until("the array completes", 60.seconds) { cluster.jobState("req-3") == "done" }
        assertAllAnswer("req-2", "after the restart")
    }

    /** More tasks than a heartbeat can list: they run on several machines, or one after the other. */
    @Test
    fun `an array of 2000 tasks without amounts completes`() = faultScenario(1L..1L) {
        submit("req-1", "array", 2000, 5.0, nothing)
        var mostOnMachine = 0
        cluster.until("the array completes", 240.seconds) {
            val onMachines = hosts("req-1").values.groupingBy { it }.eachCount()
            mostOnMachine = maxOf(mostOnMachine, onMachines.values.maxOrNull() ?: 0)
            cluster.jobState("req-1") == "done"
        }
        assertTrue(mostOnMachine in 1..TaskLimits.MAX_TASKS_PER_MACHINE, "$mostOnMachine tasks on one machine")
        assertAllAnswer("req-1", "afterwards")
    }

    @Test
    fun `jobs with random unusual amounts run beside ordinary ones`() = faultScenario(seeds) { seed ->
        val random = Random(seed)
        val small = UnusualAmounts.amounts.filter { it <= 1.0 }
        val accepted = ArrayList<Pair<String, String>>()
        for (n in 0 until 12) {
            val kind = listOf("daemon", "array", "gang").random(random)
            val amounts = listOf("cores", "accelerators", "memGb").associateWith { small.random(random) }
            val others = listOf("pullGb", "tallyS", "stowS", "closingS").associateWith {
                UnusualAmounts.amounts.random(random)
            }
            val tasks = random.nextInt(1, 9)
            submit("req-$n", kind, tasks, random.nextInt(5).toDouble(), amounts + others + ("lotClass" to "class-$n"))
            accepted.add("req-$n" to kind)
        }
        submit("req-99", "array", 4, 5.0)
        cluster.until("the ordinary array completes", 90.seconds) { cluster.jobState("req-99") == "done" }
        for ((id, kind) in accepted) {
            if (kind == "daemon") {
                cluster.until("$id runs", 120.seconds) { running(id) > 0 }
            } else {
                cluster.until("$id completes", 120.seconds) { cluster.jobState(id) == "done" }
            }
            assertAllAnswer(id, "seed $seed")
        }
    }
}
