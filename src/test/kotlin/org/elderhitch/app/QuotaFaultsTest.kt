package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.lab.SimulationSettings
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Teams at their quota when the leader changes while machines are unreachable (`docs/design/fault-scenarios.md`). */
class QuotaFaultsTest {
    private val ofTeamFew = mapOf("desk" to "few", "accelerators" to 2.0)

    /**
     * Both teams are at their quota, of accelerators and of cores, with more jobs pending. Jobs on unreachable machines
     * are cancelled, and the leader changes twice meanwhile. Tasks that may still run on these machines count towards
     * the quota until a heartbeat shows otherwise, their leases end, or the cloud confirms the termination of the
     * machine.
     */
    @Test
    fun `cancellations on unreachable machines keep to the quota while the leader changes`() = faultScenario(1L..12L, {
        SimulationSettings(
            it,
            heartbeatIntervalS = 3.0,
            leaseS = 17.5,
            maxGpus = 1000.0,
            maxCpus = 100.0,
            otherTeams = mapOf("few" to 16.0),
        )
    }) { seed ->
        val random = Random(seed)
        submit("req-1", "array", 4, 400.0, mapOf("cores" to 10.0))
        submit("req-2", "daemon", 6, 0.0, mapOf("cores" to 10.0))
        submit("req-3", "array", 8, 400.0, ofTeamFew)
        untilRunning("req-1", 4)
        untilRunning("req-2", 6)
        untilRunning("req-3", 8)
        // More tasks than either team may run while the first jobs are running.
        submit("req-4", "array", 30, 15.0, mapOf("cores" to 10.0))
        submit("req-5", "array", 20, 15.0, ofTeamFew)
        repeat(2) { round ->
            val (cancelled, cancelledOfFew) = if (round == 0) "req-1" to "req-3" else "req-2" to "req-5"
            cluster.until("both teams are at their quotas", 120.seconds) {
                checker.usedBy("team").second == 100.0 && checker.usedBy("few").first == 16.0
            }
            val unreachable = (hosts(cancelled).values + hosts(cancelledOfFew).values).toSet().sorted()
                .filter { random.nextInt(3) > 0 }
                .toSet()
            // The cloud may be unavailable: then the machines can't be terminated, and the takeover ends by other
            // evidence.
            cluster.platform.cloud.down = random.nextBoolean()
            val hanging = if (seed % 4 == 2L) {
                cluster.platform.workers().filterKeys { it in unreachable }.values
            } else {
                emptyList()
            }
            when (seed % 4) {
                0L -> cluster.silentWorkers = unreachable
                1L -> cluster.network.unableToConnect = unreachable
                2L -> hanging.forEach { it.hang() }
                else -> cluster.network.unableToReceive = unreachable
            }
            val leader = assertNotNull(cluster.leader())
            delay(random.nextInt(0, 1500).milliseconds)
            cluster.simulationScope.launch {
                delay(random.nextInt(0, 1500).milliseconds)
                cluster.crash(leader)
                delay(4.seconds)
                cluster.startNode(leader)
            }
            for (id in listOf(cancelled, cancelledOfFew)) {
                delay(random.nextInt(0, 700).milliseconds)
                if (checker.terminalStateOf(id) == null) cancel(id, (cluster.names - leader).random(random), 30.seconds)
            }
            delay(random.nextInt(5, 30).seconds)
            cluster.silentWorkers = emptySet()
            cluster.network.unableToConnect = emptySet()
            cluster.network.unableToReceive = emptySet()
            hanging.forEach { it.resume() }
            delay(5.seconds)
            cluster.platform.cloud.down = false
            if (round == 0) submit("req-6", "array", 40, 60.0, ofTeamFew)
            if (round == 0) submit("req-7", "array", 40, 60.0, mapOf("cores" to 10.0))
        }
        delay(cancelLimit)
        checker.faultsEnded()
        cluster.until("the next job of the first team is done", 400.seconds) {
            poll("req-4", cluster.names[0])
            checker.terminalStateOf("req-4") == "done"
        }
    }

    /**
     * Tasks that may run on two machines that can be neither probed nor terminated count towards the quota until their
     * leases have ended, and no longer.
     */
    @Test
    fun `a team at its quota goes on after a takeover in which some machines could not be probed`() =
        faultScenario(1L..3L, {
            SimulationSettings(it, heartbeatIntervalS = 3.0, leaseS = 17.5, maxGpus = 24.0)
        }) { seed ->
            submit("req-1", "array", 24, 40.0)
            untilRunning("req-1", 24)
            submit("req-2", "array", 48, 10.0)
            val unreachable = hosts("req-1").values.toSet().sorted().take(2).toSet()
            cluster.silentWorkers = unreachable
            cluster.platform.cloud.down = true
            val leader = assertNotNull(cluster.leader())
            delay((seed * 300).milliseconds)
            cluster.crash(leader)
            delay(5.seconds)
            cluster.startNode(leader)
            cancel("req-1", (cluster.names - leader).first(), 30.seconds)
            // The longest time that a takeover may take: a lease, the command window and the answer grace period.
            delay(cancelLimit)
            assertEquals(0, running("req-1"))
            assertTrue(starts.any { it.first.startsWith("req-2/") }, "seed $seed: the team's other job has started")
            cluster.silentWorkers = emptySet()
            cluster.platform.cloud.down = false
            checker.faultsEnded()
            cluster.until("the other job is done", 200.seconds) {
                poll("req-2", cluster.names[0])
                checker.terminalStateOf("req-2") == "done"
            }
        }
}
