package org.elderhitch.recovery

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Counts what the leader found when it reconciled heartbeats with its table, by rule, and what it did about it.
 *
 * The counts are logged when the takeover settles and once more [LATE_REPORT_DELAY] after the claim, and are shown in
 * `/status`.
 */
internal class ReconciliationStatistics(private val clock: SteadyClock) {
    private val log = LoggerFactory.getLogger("elderhitch.recovery")
    private val counts = LongArray(TaskReconciliationRule.entries.size)

    /** The actions that the leader took in this term. */
    val actions = ActionLedger()
    private var leadership: LeadershipState.Leader? = null
    private var lateReportDone = true
    private var settledAfter: Duration? = null

    /** Starts from zero. */
    fun newTerm(leadership: LeadershipState.Leader) {
        this.leadership = leadership
        counts.fill(0)
        actions.newTerm()
        lateReportDone = leadership.previousLeader == null
        settledAfter = null
    }

    /** A reported task matched [rule]. */
    fun count(rule: TaskReconciliationRule) {
        counts[rule.ordinal]++
    }

    /** To be called regularly. Logs the counts when it is known which of the takeover's actions were needless. */
    fun tick() {
        val claimedAt = leadership?.claimedAt ?: return
        if (lateReportDone || clock.now() - claimedAt < LATE_REPORT_DELAY) return
        lateReportDone = true
        logCounts("a minute on")
    }

    /** The takeover is settled. */
    fun settled() {
        settledAfter = leadership?.let { clock.now() - it.claimedAt }
        logCounts("settled")
    }

    private fun logCounts(moment: String) {
        val fields = snapshot().entries.joinToString(" ") { (name, value) -> "$name=$value" }
        log.info("reconciled moment=\"{}\" {}", moment, fields)
    }

    /** The counts for `/status` and the log. */
    fun snapshot(): Map<String, Any?> {
        val rows = TaskReconciliationRule.entries.associate { it.statusWord to counts[it.ordinal] }
        val own = linkedMapOf<String, Any?>(
            "term" to leadership?.term?.number,
            "settled_ms" to settledAfter?.inWholeMilliseconds,
            "rows" to rows.filterValues { it > 0 },
        )
        return own + actions.snapshot()
    }

    private companion object {
        /** By then the needless ones among the takeover's hasty actions have shown themselves. */
        val LATE_REPORT_DELAY = 60.seconds
    }
}
