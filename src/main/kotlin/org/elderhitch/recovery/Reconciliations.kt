package org.elderhitch.recovery

import org.elderhitch.leadership.Tenure
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a term's leader found when it reconciled reports with its table, row by row, and what it ordered: counted, told in the log, and read by `/status`. */
internal class Reconciliations(private val clock: SteadyClock) {
    private val log = LoggerFactory.getLogger("elderhitch.recovery")
    private val rows = LongArray(TaskRow.entries.size)
    val orders = Orders()
    private var leading: Tenure.Leading? = null
    private var toldLate = true
    private var settledAfter: Duration? = null

    fun newTerm(leading: Tenure.Leading) {
        this.leading = leading
        rows.fill(0)
        orders.newTerm()
        toldLate = leading.former == null
        settledAfter = null
    }

    fun seen(row: TaskRow) {
        rows[row.ordinal]++
    }

    /** By then what a takeover ordered in haste has shown itself to be right or not. */
    fun tick() {
        val since = leading?.claimedAt ?: return
        if (toldLate || clock.now() - since < LATE) return
        toldLate = true
        tell("a minute on")
    }

    fun settled() {
        settledAfter = leading?.let { clock.now() - it.claimedAt }
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
        "term" to leading?.term?.number,
        "settled_ms" to settledAfter?.inWholeMilliseconds,
        "rows" to TaskRow.entries.associate { it.name.lowercase() to rows[it.ordinal] }.filterValues { it > 0 },
    ) +
        orders.read()

    private companion object {
        val LATE = 60.seconds
    }
}
