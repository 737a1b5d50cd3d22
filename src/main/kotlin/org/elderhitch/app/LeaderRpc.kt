package org.elderhitch.app

import org.elderhitch.jobs.HoldResult
import org.elderhitch.json.JsonObject

/** Paths, fields and codecs of the requests that controllers send to their leader. */
internal object LeaderRpc {
    const val ACCOUNT = "account"
    const val EXPLAIN = "explain"
    const val HOLD = "hold"
    const val FAULTY_JOBS = "faults"

    const val ID = "id"
    const val JOB_ACCOUNT = "acct"
    const val LINES = "lines"
    const val KIND = "kind"
    const val REASON = "why"
    const val JOBS = "jobs"

    private const val HOLD_RESULT = "hold"
    private const val HELD = "held"
    private const val INCONSISTENT = "inconsistent"
    private const val NO_SUCH_JOB = "unknown"
    private const val NOT_NOW = "later"

    fun encode(result: HoldResult): Map<String, Any?> = when (result) {
        HoldResult.Held -> mapOf(HOLD_RESULT to HELD)
        is HoldResult.Inconsistent -> mapOf(HOLD_RESULT to INCONSISTENT, REASON to result.reason)
        HoldResult.NoSuchJob -> mapOf(HOLD_RESULT to NO_SUCH_JOB)
        is HoldResult.NotNow -> mapOf(HOLD_RESULT to NOT_NOW, REASON to result.reason)
    }

    /** Unknown results, which a later version may send, count as [HoldResult.NotNow]. */
    fun decodeHoldResult(answer: JsonObject): HoldResult {
        val reason = answer.stringOrNull(REASON).orEmpty()
        return when (answer.stringOrNull(HOLD_RESULT)) {
            HELD -> HoldResult.Held
            INCONSISTENT -> HoldResult.Inconsistent(reason)
            NO_SUCH_JOB -> HoldResult.NoSuchJob
            else -> HoldResult.NotNow(reason)
        }
    }
}
