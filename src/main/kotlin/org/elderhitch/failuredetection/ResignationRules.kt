package org.elderhitch.failuredetection

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.Takeover
import org.elderhitch.tasks.TaskTable
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when a leader resigns because it is itself partitioned from the workers. Its state is kept across terms.
 *
 * @param silenceTimeout the silence after which an unresponsive machine is terminated. A new leader that has received
 *   no message of any worker for longer than this resigns.
 */
internal class ResignationRules(
    private val table: TaskTable,
    private val currentTakeover: () -> Takeover,
    private val currentProber: () -> WorkerProber,
    private val reception: ReceptionTracker,
    private val silenceTimeout: Duration,
) {
    private val takeover: Takeover get() = currentTakeover()
    private val workerProber: WorkerProber get() = currentProber()
    private var lastResignedWithoutReports = MonotonicInstant.NEVER

    /** Returns why the leader must resign, for the log, or null if it need not. */
    fun reasonToResign(
        leadership: LeadershipState.Leader,
        zones: Collection<ZoneHealth>,
        silentZones: Int,
        now: MonotonicInstant,
    ): String? {
        val responsive = zones.sumOf { it.responsive }
        val suspected = zones.sumOf { it.suspected }
        val workers = responsive + suspected
        val established = now - leadership.claimedAt > MIN_LEADERSHIP && workers >= MIN_MACHINES
        if (established && (suspected > responsive * 2 || silentZones == zones.size)) {
            return "$suspected of $workers workers suspected, silent zones $silentZones"
        }
        if (!hasNoReports(leadership, now)) return null
        lastResignedWithoutReports = now
        return "none of ${takeover.unaccounted.size} machines seen"
    }

    /**
     * Whether this leader has received no message of any worker for too long.
     *
     * A new leader that reaches the state service but no worker would lead until every lease has expired, and terminate
     * the whole fleet meanwhile. It resigns once, so that another node can try. If no worker reaches that node either,
     * the machines are at fault.
     */
    private fun hasNoReports(leadership: LeadershipState.Leader, now: MonotonicInstant): Boolean {
        val expected = takeover.unaccounted
        if (table.workers.isNotEmpty() || expected.size < MIN_MACHINES) return false
        if (now - lastResignedWithoutReports < RETRY_AFTER) return false
        val waited = now - reception.receivingSince(leadership)
        return waited > silenceTimeout || waited > UNREACHABLE_TIMEOUT && mostAreUnreachable(expected.size)
    }

    private fun mostAreUnreachable(expected: Int): Boolean =
        takeover.unaccounted.count(workerProber::isUnreachable) * UNREACHABLE_DENOMINATOR >
            expected * UNREACHABLE_NUMERATOR

    private companion object {
        val MIN_LEADERSHIP = 15.seconds
        const val MIN_MACHINES = 4
        val RETRY_AFTER = 60.seconds
        val UNREACHABLE_TIMEOUT = 2.seconds

        /** More than two thirds of the machines. */
        const val UNREACHABLE_NUMERATOR = 2
        const val UNREACHABLE_DENOMINATOR = 3
    }
}
