package org.elderhitch.lab

import kotlinx.coroutines.delay
import org.elderhitch.drmaa.Claim
import org.elderhitch.drmaa.DrmaaSettings
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.settings.TeamName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A client of the DRMAA wire protocol in virtual time: tries node after node, with a unique number for each request.
 */
internal class WireClient(
    private val cluster: SimulatedCluster,
    private var token: String,
    private val tag: String,
    private val shift: Int = 0,
) {
    private var number = 0
    var session = ""
        private set

    class WireResponse(val status: Int, val body: JsonObject) {
        val fault: String? get() = body.stringOrNull("exception")
    }

    fun request(): String = "$tag-${number++}"

    fun contact(): String = token

    suspend fun open(): WireClient {
        val answer = ask("open", mapOf("nonce" to "nonce-for-$tag-$shift"))
        check(answer.status == OK) { "open: ${answer.status} ${answer.body.stringOrNull("error")}" }
        token = answer.body.string("token")
        session = answer.body.string("session")
        return this
    }

    /**
     * Retries until a node gives another answer than 503, or [patience] is over. [node]: the only node to ask; null:
     * all.
     */
    suspend fun ask(
        path: String,
        fields: Map<String, Any?>,
        patience: Duration = 60.seconds,
        node: String? = null,
        timeout: Duration = 24.seconds,
    ): WireResponse {
        val deadline = cluster.clock.now() + patience
        var attempt = shift
        while (true) {
            val at = node ?: cluster.names[attempt++ % cluster.names.size]
            val response = cluster.post(at, "/drmaa/$path", Json.bytes(mapOf("token" to token) + fields), timeout)
            val deadlinePassed = cluster.clock.now() >= deadline
            if (response != null && (response.status != BUSY || deadlinePassed)) {
                return WireResponse(response.status, Json.parseObject(response.body))
            }
            if (deadlinePassed) return WireResponse(BUSY, JsonObject.of(mapOf("error" to "no answer")))
            delay(if (response == null) 100.milliseconds else 1.seconds)
        }
    }

    suspend fun run(template: Map<String, Any?>, members: Int? = null, request: String = request()): WireResponse {
        val bulk = members?.let { mapOf("bulk" to mapOf("start" to 1, "end" to it, "step" to 1)) }.orEmpty()
        return ask("run", mapOf("request" to request, "template" to template) + bulk)
    }

    /**
     * A wait as the DRMAA binding does it: repeats the request under the same number. Null: no result within [limit].
     */
    suspend fun wait(job: String, limit: Duration, request: String = request(), node: String? = null): WireResponse? {
        val deadline = cluster.clock.now() + limit
        while (cluster.clock.now() < deadline) {
            val hold = minOf(deadline - cluster.clock.now(), MAX_HOLD)
            val answer = ask(
                "wait",
                mapOf("request" to request, "job" to job, "holdMs" to hold.inWholeMilliseconds),
                deadline - cluster.clock.now(),
                node,
                hold + 4.seconds,
            )
            if (answer.status == BUSY) continue
            if (answer.body.booleanOrNull("waiting") != true) return answer
        }
        return null
    }

    companion object {
        const val OK = 200
        const val BUSY = 503
        const val ANY = "DRMAA_JOB_IDS_SESSION_ANY"
        const val ALL = "DRMAA_JOB_IDS_SESSION_ALL"
        private val MAX_HOLD = 20.seconds

        /** The token that operators issue to the users of a team. */
        fun grant(settings: DrmaaSettings, team: String = "team"): String =
            settings.tokens.issue(Claim.Grant(TeamName(team), null))
    }
}
