package org.elderhitch.failuredetection

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.Takeover
import org.elderhitch.tasks.TaskTable
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * When a leader resigns since it is itself partitioned from the workers. Its state outlives a term.
 *
 * @param patience after what time without a message a machine is terminated.
 */
internal class ResignationRules(
    private val table: TaskTable,
    private val currentTakeover: () -> Takeover,
    private val currentProber: () -> WorkerProber,
    private val reception: ReceptionTracker,
    private val patience: Duration,
) {
    private val takeover: Takeover get() = currentTakeover()
    private val workerProber: WorkerProber get() = currentProber()
    private var lastResignedUnseen = MonotonicInstant.NEVER

    /** Why the leader must resign, for the log; absent if it needn't. */
    fun reasonToResign(
        leadership: LeadershipState.Leader,
        zones: Collection<ZoneHealth>,
        quietZones: Int,
        now: MonotonicInstant,
    ): String? {
        val responsive = zones.sumOf { it.responsive }
        val suspected = zones.sumOf { it.suspected }
        val workers = responsive + suspected
        val established = now - leadership.claimedAt > MIN_LEADERSHIP && workers >= MIN_MACHINES
        if (established && (suspected > responsive * 2 || quietZones == zones.size)) {
            return "$suspected of $workers workers suspected, quiet zones $quietZones"
        }
        if (!isUnreachedByAll(leadership, now)) return null
        lastResignedUnseen = now
        return "none of ${takeover.unaccounted.size} machines seen"
    }

    /**
     * A new leader that reaches the state service but no worker would lead until every lease has expired, and terminate
     * the whole fleet meanwhile. It lets another node try, once: if no worker reaches that one either, the machines are
     * at fault.
     */
    private fun isUnreachedByAll(leadership: LeadershipState.Leader, now: MonotonicInstant): Boolean {
        val expected = takeover.unaccounted
        if (table.workers.isNotEmpty() || expected.size < MIN_MACHINES) return false
        if (now - lastResignedUnseen < RETRY_AFTER) return false
        val waited = now - reception.receivingSince(leadership)
        return waited > patience || waited > UNREACHABLE_PATIENCE && mostAreUnreachable(expected.size)
    }

    private fun mostAreUnreachable(expected: Int): Boolean =
        takeover.unaccounted.count(workerProber::isUnreachable) * UNREACHABLE_DENOMINATOR >
            expected * UNREACHABLE_NUMERATOR

    private companion object {
        val MIN_LEADERSHIP = 15.seconds
        const val MIN_MACHINES = 4
        val RETRY_AFTER = 60.seconds
        val UNREACHABLE_PATIENCE = 2.seconds

        /** More than two of three machines. */
        const val UNREACHABLE_NUMERATOR = 2
        const val UNREACHABLE_DENOMINATOR = 3
    }
}
