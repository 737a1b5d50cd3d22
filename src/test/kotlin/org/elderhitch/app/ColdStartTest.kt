package org.elderhitch.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.json.Json
import org.elderhitch.lab.SimulatedCluster
import org.elderhitch.lab.SimulationSettings
import org.elderhitch.lab.TransactionOutcome
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** All controllers crash and restart (`docs/design/recovery.md`). */
class ColdStartTest {
    private suspend fun SimulatedCluster.actionCounts(group: String): Map<String, Long> {
        val status = assertNotNull(call(assertNotNull(leader()), "GET", "/status", null))
        val counts = Json.parseObject(status.body).objectOrNull("orders")?.objectOrNull("workers")?.objectOrNull(group)
        return counts?.names.orEmpty().associateWith { counts?.longOrNull(it) ?: 0L }
    }

    private suspend fun SimulatedCluster.restartAll(downFor: Int) {
        names.forEach(::crash)
        delay(downFor.seconds)
        names.forEach(::startNode)
        until("a leader", 15.seconds) { leader() != null }
    }

    /**
     * A less important job that is submitted after the claim must not take the capacity of service tasks that are
     * started again seconds later.
     */
    @Test
    fun `tasks are started again in order of priority`() {
        for (seed in 1L..4L) {
            runInSimulatedCluster(
                SimulationSettings(
                    seed,
                    heartbeatIntervalS = 3.0,
                    machinesPerZone = 8,
                    maxGpus = 4000.0,
                    leaseS = 17.5,
                ),
            ) {
                submit(
                    "req-1",
                    "daemon",
                    48,
                    0.0,
                    mapOf(
                        "cores" to 10.0,
                        "borrowedRigs" to false,
                        "urgency" to "production",
                    ),
                )
                until("all tasks of the service run", 120.seconds) { onMachine.size == 48 }
                delay(15.seconds)
                // Machines that are gone now are declared lost only when all others have sent a heartbeat: one machine
                // hangs, so the takeover takes long.
                val usedMachines = onMachine.values.toSet().toList()
                platform.workers().getValue(usedMachines[0]).hang()
                usedMachines.drop(1).take(4).forEach { platform.kill(it) }
                restartAll(5)
                submit(
                    "req-2",
                    "array",
                    400,
                    60.0,
                    mapOf(
                        "cores" to 2.0,
                        "accelerators" to 0.25,
                        "urgency" to "idle",
                        "borrowedRigs" to false,
                    ),
                )
                until("all tasks of the service run again", 90.seconds) {
                    onMachine.keys.count { it.startsWith("req-1/") } == 48
                }
                assertEquals(0L, actionCounts("regret")["start_stopped"] ?: 0L, "seed $seed: ${actionCounts("given")}")
                assertNoViolations()
            }
        }
    }

    /**
     * The actions of a cold start are counted, each disagreement between the leader's table and the workers in a row of
     * its own.
     */
    @Test
    fun `a cold start adopts, completes and stops the tasks that it finds, and starts none twice`() =
        runInSimulatedCluster(
            SimulationSettings(3, heartbeatIntervalS = 1.0, machinesPerZone = 12, maxGpus = 4000.0, leaseS = 24.0),
        ) {
            submit("req-1", "daemon", 12, 0.0, mapOf("cores" to 20.0))
            submit("req-2", "array", 40, 12.0, mapOf("cores" to 4.0))
            submit("req-3", "array", 20, 300.0, mapOf("cores" to 4.0))
            until("all run", 60.seconds) { onMachine.size == 72 }
            val startsBefore = startsOf.values.sum()
            names.forEach(::crash)
            delay(14.seconds)
            names.forEach(::startNode)
            // Before any heartbeat has arrived: the tasks are stopped as soon as a heartbeat names them.
            until("cancellation confirmed", 5.seconds) {
                call(names[0], "POST", "/work/req-3/withdraw", ByteArray(0))?.status == 200
            }
            until("the array is done", 15.seconds) { jobState("req-2") == "done" }
            until("the cancelled tasks are gone", 15.seconds) { onMachine.size == 12 }
            delay(3.seconds)
            val rows = actionCounts("rows")
            assertTrue((rows["unknown_here"] ?: 0) >= 12, "$rows")
            assertEquals(40L, rows["completed"], "$rows")
            assertEquals(startsBefore, startsOf.values.sum(), "no running or completed task is started")
            assertEquals(0L, actionCounts("given")["start"] ?: 0L)
            assertNoViolations()
        }

    /** Nodes that are up for two seconds between crashes renew all the leases that they can in this time. */
    @Test
    fun `four cold starts in a row that last two seconds each renew leases that would have ended`() {
        for (seed in 1L..3L) {
            runInSimulatedCluster(
                SimulationSettings(
                    seed,
                    heartbeatIntervalS = 1.0,
                    machinesPerZone = 20,
                    maxGpus = 4000.0,
                    leaseS = 11.0,
                ),
            ) {
                submit("req-1", "daemon", 60, 0.0, mapOf("cores" to 20.0))
                until("all tasks of the service run", 90.seconds) { onMachine.size == 60 }
                delay(10.seconds)
                val before = onMachine.toMap()
                repeat(4) {
                    restartAll(5)
                    delay(2.seconds + (100 * seed).milliseconds)
                }
                delay(5.seconds)
                assertEquals(before, onMachine.toMap(), "seed $seed")
                assertNoViolations()
            }
        }
    }

    private class TransactionCounter {
        var isCounting = false
        var count = 0
    }

    /**
     * Runs a cold start during which all controllers crash once more while their transaction number [crashAt] is on its
     * way to the state service; [outcome]: whether it is executed. Returns the number of transactions.
     */
    private fun runWithCrashAt(crashAt: Int, outcome: TransactionOutcome): Int {
        val transactions = TransactionCounter()
        runInSimulatedCluster(
            SimulationSettings(7, heartbeatIntervalS = 1.0, machinesPerZone = 8, maxGpus = 4000.0, leaseS = 11.0),
        ) {
            submit("req-1", "daemon", 12, 0.0, mapOf("cores" to 20.0))
            submit("req-2", "array", 24, 7.0, mapOf("cores" to 8.0))
            submit("req-3", "array", 10, 300.0, mapOf("cores" to 8.0))
            until("all run", 90.seconds) { onMachine.size == 46 }
            names.forEach(::crash)
            // State for the next leader to recover: machines that died, tasks that completed, and a job that is
            // cancelled at once.
            val usedMachines = onMachine.values.toSet().sorted()
            usedMachines.take(2).forEach { platform.kill(it) }
            // Also a machine that hangs while its tasks run, and resumes before its lease ends.
            val hanging = platform.workers().getValue(usedMachines[2])
            hanging.hang()
            delay(5.seconds)
            simulationScope.launch {
                delay(5.seconds)
                hanging.resume()
            }
            transactionOutcome = { _, _ ->
                if (!transactions.isCounting || ++transactions.count != crashAt) {
                    TransactionOutcome.Answered
                } else {
                    // The transaction has left its node; whatever its result is, no controller receives it.
                    simulationScope.launch { names.forEach(::crash) }
                    outcome
                }
            }
            transactions.isCounting = true
            names.forEach(::startNode)
            until("cancellation confirmed", 20.seconds) {
                names.any {
                    isUp(it) &&
                        call(it, "POST", "/work/req-3/withdraw", ByteArray(0))?.status == 200
                } ||
                    !isUp("n0")
            }
            delay(15.seconds)
            transactions.isCounting = false
            names.filterNot(::isUp).forEach(::startNode)
            until("cancellation confirmed after restart", 30.seconds) {
                ask("POST", "/work/req-3/withdraw").first == 200
            }
            until("the whole service runs", 120.seconds) { onMachine.keys.count { it.startsWith("req-1/") } == 12 }
            until("the array is done", 120.seconds) { jobState("req-2") == "done" }
            until("the cancelled tasks are gone", 41.seconds) { onMachine.size == 12 }
            // A late transaction may still be executed.
            delay(35.seconds)
            assertEquals(12, onMachine.size, "step $crashAt, $outcome")
            assertEquals("withdrawn", jobState("req-3"), "step $crashAt, $outcome")
            assertEquals("done", jobState("req-2"), "step $crashAt, $outcome")
            until("table and machines agree", 5.seconds) {
                taskPlacements()?.keys?.map { it.toString() }?.toSet() ==
                    onMachine.keys
            }
            assertTrue(platform.cloud.machines().size <= 32, "${platform.cloud.machines().size} machines")
            assertNoViolations()
        }
        return transactions.count
    }

    /**
     * Whichever transaction was the last before all controllers crashed, and whether it is executed at once or half a
     * minute later, the next cold start reconciles its effects.
     */
    @Test
    fun `a cold start that is interrupted at any of its transactions is reconciled by the next`() {
        val total = runWithCrashAt(0, TransactionOutcome.Answered)
        assertTrue(total in 8..200, "$total transactions")
        for (step in 1..total) {
            for (outcome in listOf(
                TransactionOutcome.AnswerLost,
                TransactionOutcome.Late(30.seconds),
            )) {
                runWithCrashAt(step, outcome)
            }
        }
    }
}
