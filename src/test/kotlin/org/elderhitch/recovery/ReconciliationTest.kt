package org.elderhitch.recovery

import org.elderhitch.failuredetection.DetectionTimeouts
import org.elderhitch.failuredetection.SuspectedMachine
import org.elderhitch.failuredetection.SuspicionRule
import org.elderhitch.failuredetection.SuspicionRules
import org.elderhitch.failuredetection.TerminationRateLimiter
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Exhaustive checks of the rules for reported tasks and for silent machines, and checks of the rate limit on
 * terminations. `docs/design/recovery.md` lists the rules.
 */
class ReconciliationTest {
    private val booleans = listOf(false, true)

    private fun allReportedTasks(): List<ReportedTask> = buildList {
        for (job in JobLifecycle.entries) {
            for (indexValid in booleans) {
                for (live in booleans) {
                    for (saving in booleans) {
                        for (completed in booleans) {
                            for (local in LocalPlacement.entries) {
                                for (remote in RemotePlacement.entries) {
                                    val savingWithoutLive = saving && !live
                                    val completedAndLive = completed && live
                                    if (savingWithoutLive || completedAndLive) continue
                                    add(ReportedTask(job, indexValid, live, saving, completed, local, remote))
                                }
                            }
                        }
                    }
                }
            }
        }
    }

    @Test
    fun `every rule is reachable, and a task is in the table exactly if it is live`() {
        val rules = allReportedTasks().groupBy(TaskReconciliation::ruleFor)
        assertEquals(TaskReconciliationRule.entries.toSet(), rules.keys)
        val inTable = setOf(TaskVerdict.KEEP, TaskVerdict.ADOPT, TaskVerdict.REPLACE, TaskVerdict.SURPLUS)
        for (task in allReportedTasks().filter { it.indexValid && it.job != JobLifecycle.UNKNOWN }) {
            val verdict = TaskReconciliation.ruleFor(task).verdict
            // A live task uses capacity and quota, and its index must not be started again, whatever else is known.
            // Guards the invariants ran_twice and quota.
            assertEquals(task.live, verdict in inTable, "$task: $verdict")
            // A result counts, whichever attempt produced it. Guards the invariant not_done, and against lost work.
            if (task.completed) assertEquals(TaskVerdict.COMPLETE, verdict, "$task")
        }
    }

    /** No task keeps running after its job has ended. Guards the invariant ran_cancelled. */
    @Test
    fun `live tasks of a terminal job are stopped`() {
        for (task in allReportedTasks().filter { it.live && it.indexValid }) {
            when (task.job) {
                JobLifecycle.OPEN -> assertTrue(!TaskReconciliation.mustStop(task))
                JobLifecycle.ENDED -> assertTrue(TaskReconciliation.mustStop(task), "$task")
                JobLifecycle.UNKNOWN ->
                    assertEquals(TaskVerdict.STOP, TaskReconciliation.ruleFor(task).verdict, "$task")
            }
        }
    }

    /** If two workers report the same task, exactly one of the copies must keep running. */
    @Test
    fun `one of two copies keeps running, in whichever order their workers report`() {
        val task =
            ReportedTask(
                JobLifecycle.OPEN,
                true,
                live = true,
                saving = false,
                completed = false,
                LocalPlacement.NOTHING,
                RemotePlacement.EARLIER,
            )
        assertEquals(TaskVerdict.SURPLUS, TaskReconciliation.ruleFor(task).verdict)
        assertEquals(
            TaskVerdict.REPLACE,
            TaskReconciliation.ruleFor(task.copy(remote = RemotePlacement.LATER)).verdict,
        )
        for (saving in allReportedTasks().filter {
            it.saving &&
                it.remote > RemotePlacement.UNSENT &&
                it.local != LocalPlacement.THIS_ATTEMPT &&
                it.indexValid &&
                it.job == JobLifecycle.OPEN
        }) {
            assertEquals(
                TaskVerdict.SURPLUS,
                TaskReconciliation.ruleFor(saving).verdict,
                "a copy that is saving is about to exit: $saving",
            )
        }
    }

    // ---- silent machines ----

    private val timeouts =
        DetectionTimeouts(
            heartbeatOverdue = 3.seconds,
            unresponsive = 9.seconds,
            oneWayPartition = 18.seconds,
            unlisted = 2.seconds,
            unprobedMargin = 6.seconds,
            neverSeenMargin = 3.seconds,
            zonePartition = 90.seconds,
        )
    private val suspicionRules = SuspicionRules(timeouts)
    private val now = MonotonicInstant(0) + 1000.seconds

    private fun allSuspectedMachines(): List<SuspectedMachine> = buildList {
        for (neverSeen in booleans) {
            for (reconciled in booleans) {
                for (unlisted in booleans) {
                    for (unreachableSince in listOf(
                        null,
                        now - 5.seconds,
                    )) {
                        for (probeUnanswered in booleans) {
                            for (zoneLastSeenAt in listOf(null, now - 9.seconds, now - 1.seconds)) {
                                for (zonePossiblyPartitioned in booleans) {
                                    for (zonePartitioned in booleans) {
                                        for (zoneNeverSeen in booleans) {
                                            for (oneWayPartitioned in booleans) {
                                                if (neverSeen && (reconciled || oneWayPartitioned)) continue
                                                add(
                                                    SuspectedMachine(
                                                        neverSeen,
                                                        reconciled,
                                                        unlisted,
                                                        unreachableSince,
                                                        probeUnanswered,
                                                        zoneLastSeenAt,
                                                        zonePossiblyPartitioned,
                                                        zonePartitioned,
                                                        zoneNeverSeen,
                                                        oneWayPartitioned,
                                                    ),
                                                )
                                            }
                                        }
                                    }
                                }
                            }
                        }
                    }
                }
            }
        }
    }

    @Test
    fun `no machine is terminated sooner than the evidence allows`() {
        val rules = HashSet<SuspicionRule>()
        for (machine in allSuspectedMachines()) {
            for (open in booleans) {
                for (settlesWithinLease in booleans) {
                    val rule = suspicionRules.ruleFor(machine, open, settlesWithinLease)
                    val terminationDelay = suspicionRules.terminationDelay(machine, open, settlesWithinLease)
                    rules.add(rule)
                    assertTrue(terminationDelay >= suspicionRules.minimumTerminationDelay)
                    if (!rule.proven) {
                        assertTrue(
                            terminationDelay >= timeouts.unresponsive,
                            "$machine: $rule after $terminationDelay, without proof",
                        )
                    }
                    if (rule == SuspicionRule.UNLISTED) {
                        assertTrue(
                            machine.neverSeen && machine.unlisted,
                            "a machine seen in this term is not terminated because of an outdated list",
                        )
                    }
                    if (rule == SuspicionRule.UNREACHABLE) {
                        assertTrue(
                            !machine.zonePossiblyPartitioned && (open || machine.zoneLastSeenAt == now - 1.seconds),
                            "a partition may explain the silence: $machine",
                        )
                    }
                    // Its tasks keep running until its lease has expired.
                    if (rule == SuspicionRule.ONE_WAY_PARTITIONED) {
                        assertTrue(
                            machine.oneWayPartitioned && terminationDelay >= timeouts.oneWayPartition,
                            "$machine: $rule after $terminationDelay",
                        )
                    }
                    // The whole zone is silent: its machines keep running, and terminating them would end all their
                    // tasks.
                    if (machine.zonePartitioned && machine.zonePossiblyPartitioned && machine.reconciled) {
                        assertTrue(
                            terminationDelay >= timeouts.zonePartition,
                            "$machine: $rule after $terminationDelay",
                        )
                    }
                    if (machine.zoneNeverSeen && machine.zonePossiblyPartitioned && !machine.unlisted) {
                        assertTrue(
                            terminationDelay >= timeouts.zonePartition,
                            "$machine: $rule after $terminationDelay",
                        )
                    }
                }
            }
        }
        assertEquals(SuspicionRule.entries.toSet(), rules)
    }

    /**
     * Mass terminations on the evidence of silence alone are rate-limited by zone. A few are always allowed
     * immediately, and all are eventually.
     */
    @Test
    fun `terminations are limited to a quarter of a zone within five seconds, and all are eventually allowed`() {
        for (seed in 1..200) {
            val random = Random(seed)
            val rateLimiter = TerminationRateLimiter(0.25)
            val size = random.nextInt(1, 600)
            var silent = random.nextInt(0, size + 1)
            val initial = silent
            val sent = ArrayList<Pair<MonotonicInstant, Int>>()
            var at = now
            while (silent > 0) {
                val allowed = rateLimiter.allow(Zone("a"), size, silent, at)
                assertTrue(allowed in 0..silent)
                silent -= allowed
                sent.add(at to allowed)
                val inPeriod =
                    sent.filter { at - it.first < TerminationRateLimiter.REFILL_PERIOD }.sumOf { it.second }
                assertTrue(
                    inPeriod <= 2 * maxOf(TerminationRateLimiter.MIN_BURST, size * 0.25),
                    "seed $seed: $inPeriod of $size",
                )
                at += (random.nextInt(1, 300)).milliseconds
                assertTrue(
                    at - now <= TerminationRateLimiter.REFILL_PERIOD * 6,
                    "seed $seed: $silent of $initial still wait",
                )
            }
            if (initial <= TerminationRateLimiter.MIN_BURST) assertEquals(initial, sent.firstOrNull()?.second ?: 0)
        }
    }
}
