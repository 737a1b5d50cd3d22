package org.elderhitch.app

import org.elderhitch.jobs.HoldResult
import org.elderhitch.json.JsonObject

/** Paths, fields and codecs of the requests that controllers send to their leader. */
internal object LeaderRpc {
    const val ACCOUNT_PATH = "account"
    const val EXPLAIN_PATH = "explain"
    const val HOLD_PATH = "hold"
    const val FAULTY_JOBS_PATH = "faults"

    const val ID_FIELD = "id"
    const val ACCOUNT_FIELD = "acct"
    const val LINES_FIELD = "lines"
    const val KIND_FIELD = "kind"
    const val REASON_FIELD = "why"
    const val JOBS_FIELD = "jobs"

    private const val RESULT_FIELD = "hold"
    private const val HELD = "held"
    private const val INCONSISTENT = "inconsistent"
    private const val NO_SUCH_JOB = "unknown"
    private const val NOT_NOW = "later"

    fun encode(result: HoldResult): Map<String, Any?> = when (result) {
        HoldResult.Held -> mapOf(RESULT_FIELD to HELD)
        is HoldResult.Inconsistent -> mapOf(RESULT_FIELD to INCONSISTENT, REASON_FIELD to result.reason)
        HoldResult.NoSuchJob -> mapOf(RESULT_FIELD to NO_SUCH_JOB)
        is HoldResult.NotNow -> mapOf(RESULT_FIELD to NOT_NOW, REASON_FIELD to result.reason)
    }

    /** A result that this version doesn't know counts as [HoldResult.NotNow]; a later version may send one. */
    fun decodeHoldResult(answer: JsonObject): HoldResult {
        val reason = answer.stringOrNull(REASON_FIELD).orEmpty()
        return when (answer.stringOrNull(RESULT_FIELD)) {
            HELD -> HoldResult.Held
            INCONSISTENT -> HoldResult.Inconsistent(reason)
            NO_SUCH_JOB -> HoldResult.NoSuchJob
            else -> HoldResult.NotNow(reason)
        }
    }
}
