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
 * The DRMAA wire as a client program speaks it, in virtual time: asks node after node, each request under its own
 * number.
 */
internal class WireClient(
    private val world: SimulatedCluster,
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

    /** Until a node answers with more than "not now", for [patience]; at one [node] only if that is given. */
    suspend fun ask(
        path: String,
        fields: Map<String, Any?>,
        patience: Duration = 60.seconds,
        node: String? = null,
        timeout: Duration = 24.seconds,
    ): WireResponse {
        val until = world.clock.now() + patience
        var tries = shift
        while (true) {
            val at = node ?: world.names[tries++ % world.names.size]
            val response = world.post(at, "/drmaa/$path", Json.bytes(mapOf("token" to token) + fields), timeout)
            val over = world.clock.now() >= until
            if (response != null && (response.status != BUSY || over)) {
                return WireResponse(response.status, Json.parseObject(response.body))
            }
            if (over) return WireResponse(BUSY, JsonObject.of(mapOf("error" to "no answer")))
            delay(if (response == null) 100.milliseconds else 1.seconds)
        }
    }

    suspend fun run(template: Map<String, Any?>, members: Int? = null, request: String = request()): WireResponse {
        val bulk = members?.let { mapOf("bulk" to mapOf("start" to 1, "end" to it, "step" to 1)) }.orEmpty()
        return ask("run", mapOf("request" to request, "template" to template) + bulk)
    }

    /**
     * One wait of the binding: asked again under the same number until there is an answer, or [limit] is over (null).
     */
    suspend fun wait(job: String, limit: Duration, request: String = request(), node: String? = null): WireResponse? {
        val until = world.clock.now() + limit
        while (world.clock.now() < until) {
            val hold = minOf(until - world.clock.now(), HOLD)
            val answer = ask(
                "wait",
                mapOf("request" to request, "job" to job, "holdMs" to hold.inWholeMilliseconds),
                until - world.clock.now(),
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
        private val HOLD = 20.seconds

        /** What operators give a team's users. */
        fun grant(settings: DrmaaSettings, team: String = "team"): String =
            settings.tokens.issue(Claim.Grant(TeamName(team), null))
    }
}
