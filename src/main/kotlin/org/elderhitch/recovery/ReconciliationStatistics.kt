package org.elderhitch.recovery

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts the reconciled tasks of a term by rule, and holds the counts of the leader's actions.
 *
 * The counts are shown in `/status`. They are logged when the takeover settles, and again [LATE_REPORT_DELAY] after the
 * leader's claim.
 */
internal class ReconciliationStatistics(private val clock: SteadyClock) {
    private val log = LoggerFactory.getLogger("elderhitch.recovery")
    private val counts = LongArray(TaskReconciliationRule.entries.size)

    /** Actions that the leader has taken in this term. */
    val actions = ActionLedger()
    private var leadership: LeadershipState.Leader? = null
    private var lateReportLogged = true
    private var settledAfter: Duration? = null

    /** Resets all counts for a new term. */
    fun resetForNewTerm(leadership: LeadershipState.Leader) {
        this.leadership = leadership
        counts.fill(0)
        actions.resetForNewTerm()
        lateReportLogged = leadership.previousLeader == null
        settledAfter = null
    }

    /** Counts a reported task that matched [rule]. */
    fun recordRule(rule: TaskReconciliationRule) {
        counts[rule.ordinal]++
    }

    /** Logs the counts once the needless actions of the takeover are known. Must be called periodically. */
    fun tick() {
        val claimedAt = leadership?.claimedAt ?: return
        if (lateReportLogged || clock.now() - claimedAt < LATE_REPORT_DELAY) return
        lateReportLogged = true
        logCounts("a minute on")
    }

    /** Records that the takeover has settled, and logs the counts. */
    fun recordSettled() {
        settledAfter = leadership?.let { clock.now() - it.claimedAt }
        logCounts("settled")
    }

    private fun logCounts(moment: String) {
        val fields = snapshot().entries.joinToString(" ") { (name, value) -> "$name=$value" }
        log.info("reconciled moment=\"{}\" {}", moment, fields)
    }

    /** Returns the counts for `/status` and the log. */
    fun snapshot(): Map<String, Any?> {
        val rows = TaskReconciliationRule.entries.associate { it.statusKey to counts[it.ordinal] }
        val own = linkedMapOf<String, Any?>(
            "term" to leadership?.term?.number,
            "settled_ms" to settledAfter?.inWholeMilliseconds,
            "rows" to rows.filterValues { it > 0 },
        )
        return own + actions.snapshot()
    }

    private companion object {
        /** Time after which needless actions of the takeover have been detected. */
        val LATE_REPORT_DELAY = 60.seconds
    }
}
