package org.elderhitch.recovery

import org.elderhitch.leadership.LeadershipState
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a term's leader found when it reconciled reports with its table, row by row, and what it ordered: counted, told
 * in the log, and read by `/status`.
 */
internal class ReconciliationStatistics(private val clock: SteadyClock) {
    private val log = LoggerFactory.getLogger("elderhitch.recovery")
    private val rows = LongArray(TaskReconciliationRule.entries.size)
    val actions = ActionLedger()
    private var leadership: LeadershipState.Leader? = null
    private var toldLate = true
    private var settledAfter: Duration? = null

    fun newTerm(leadership: LeadershipState.Leader) {
        this.leadership = leadership
        rows.fill(0)
        actions.newTerm()
        toldLate = leadership.previousLeader == null
        settledAfter = null
    }

    fun seen(row: TaskReconciliationRule) {
        rows[row.ordinal]++
    }

    /** By then what a takeover ordered in haste has shown itself to be right or not. */
    fun tick() {
        val since = leadership?.claimedAt ?: return
        if (toldLate || clock.now() - since < LATE) return
        toldLate = true
        tell("a minute on")
    }

    fun settled() {
        settledAfter = leadership?.let { clock.now() - it.claimedAt }
        tell("settled")
    }

    private fun tell(moment: String) {
        log.info(
            "reconciled moment=\"{}\" {}",
            moment,
            read().entries.joinToString(" ") { (name, value) ->
                "$name=$value"
            },
        )
    }

    fun read(): Map<String, Any?> = linkedMapOf<String, Any?>(
        "term" to leadership?.term?.number,
        "settled_ms" to settledAfter?.inWholeMilliseconds,
        "rows" to
            TaskReconciliationRule.entries.associate {
                it.statusWord to rows[it.ordinal]
            }.filterValues { it > 0 },
    ) +
        actions.snapshot()

    private companion object {
        val LATE = 60.seconds
    }
}
