package org.elderhitch.app

import kotlinx.coroutines.delay
import org.elderhitch.lab.CutMode
import org.elderhitch.lab.WorldSettings
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

/**
 * Workers that can't open connections to any controller, while commands and questions to their own addresses reach them
 * (`docs/design/fault-scenarios.md`).
 */
class OneWayPartitionTest {
    /**
     * Regression: each probe was answered, so the machine counted as alive, was given new tasks at its own address and
     * was never terminated. But nothing renewed its lease, and all its tasks ended with each agent epoch.
     */
    @Test
    fun `a machine that only answers probes gets nothing new and is terminated`() =
        faultScenario(1L..4L, { WorldSettings(it, reportS = 3.0, leaseS = 17.5, mostGpus = 80.0) }) { seed ->
            submit("req-1", "daemon", 6, 0.0, mapOf("cores" to 20.0))
            submit("req-2", "array", 6, 300.0, mapOf("cores" to 20.0))
            untilRunning("req-1", 6)
            untilRunning("req-2", 6)
            val mute = hosts("req-1").values.toSet().sorted().take(2).toSet()
            cluster.network.mute = mute
            delay(9.seconds)
            val before = starts.size
            // Work that would go to the fullest machine, which these are.
            submit("req-3", "array", 20, 5.0)
            delay(10.seconds)
            assertTrue(starts.drop(before).any { it.first.startsWith("req-3/") }, "something was started")
            assertEquals(
                emptyList(),
                starts.drop(before).filter {
                    it.second in mute
                },
                "seed $seed: nothing new on a machine whose lease runs out",
            )
            cluster.until("what ran there runs elsewhere", 25.seconds) {
                running("req-1") == 6 &&
                    hosts("req-1").values.none { it in mute }
            }
            cluster.until("they are returned", 60.seconds) { cluster.platform.cloud.machines().none { it.id in mute } }
            assertTrue(cluster.lapses <= 12, "seed $seed: ${cluster.lapses} tasks ended with leases")
        }

    /**
     * Probes reach the machines, so the takeover settles at once; what they run goes on until their lease ends, and is
     * then started elsewhere.
     */
    @Test
    fun `machines that are mute when the leader changes`() = faultScenario(1L..4L) { seed ->
        submit("req-1", "daemon", 8, 0.0, mapOf("cores" to 20.0, "spread" to true))
        submit("req-2", "array", 10, 60.0)
        untilRunning("req-1", 8)
        untilRunning("req-2", 10)
        val led = assertNotNull(cluster.leader())
        val some = cluster.platform.workers().keys.sorted()
            .filterIndexed { n, _ -> n % 3 == (seed % 3).toInt() }
            .toSet()
        cluster.network.mute = some
        delay((seed * 2).seconds)
        cluster.crash(led)
        delay(6.seconds)
        cluster.startNode(led)
        submit("req-3", "array", 10, 10.0)
        cancel("req-2", (cluster.names - led).first(), 30.seconds)
        delay(cancel)
        cluster.network.mute = emptySet()
        rules.troublesOver()
        cluster.until("the service is whole", 60.seconds) { running("req-1") == 8 }
        cluster.until("the rest is done", 60.seconds) {
            poll("req-3", cluster.names[0])
            rules.finalOf("req-3") == "done"
        }
    }

    /** Short of a lease nothing is lost, if they aren't returned sooner than others that fall silent. */
    @Test
    fun `machines that are mute for a few seconds keep what they run`() = faultScenario(1L..3L) { seed ->
        submit("req-1", "daemon", 8, 0.0, mapOf("cores" to 20.0))
        untilRunning("req-1", 8)
        cluster.network.mute = hosts("req-1").values.toSet()
        delay((3 + seed).seconds)
        cluster.network.mute = emptySet()
        delay(30.seconds)
        assertEquals(8, running("req-1"))
        assertTrue((0..7).all { cluster.startsOf["req-1/$it"] == 1 }, "seed $seed: ${cluster.startsOf}")
    }

    /**
     * What a lease delegate answers runs on, though its leader hears of it only by asking: to return it as mute would
     * end it.
     */
    @Test
    fun `workers that a lease delegate answers are not taken for mute`() = faultScenario(1L..3L, {
        WorldSettings(
            it,
            reportS = 3.0,
            leaseS = 17.5,
            mostGpus = 80.0,
            machinesPerZone = 12,
            nodeZones = listOf("a", "a", "b"),
        )
    }) { seed ->
        submit("req-1", "daemon", 8, 0.0, mapOf("cores" to 24.0, "spread" to true))
        untilRunning("req-1", 8)
        ensureFollower("n2")
        delay(15.seconds)
        val there = cluster.platform.workers().keys.filter { cluster.machine(it)?.zone == "b" }.toSet()
        val before = hosts("req-1")
        assertTrue(before.values.any { it in there })
        // n2 loses the state service and the others; the workers of its zone reach nobody else.
        val cut = cutOff("n2", CutMode.RESET, "state", "n0", "n1")
        cluster.network.heardByMute = setOf("n2")
        cluster.network.mute = there
        delay((22 + seed).seconds)
        assertEquals(before, hosts("req-1"), "seed $seed: longer than a lease, and nothing was lost or moved")
        assertEquals(0, cluster.lapses)
        cluster.network.mute = emptySet()
        cluster.network.heal(cut)
        delay(30.seconds)
        assertEquals(8, running("req-1"))
        assertTrue((0..7).all { cluster.startsOf["req-1/$it"] == 1 }, "seed $seed: ${cluster.startsOf}")
    }
}
