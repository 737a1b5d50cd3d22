package org.elderhitch.app

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.elderhitch.delegates.DelegationOffer
import org.elderhitch.fleet.MachineId
import org.elderhitch.http.HttpServer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.HoldKind
import org.elderhitch.jobs.HoldResult
import org.elderhitch.jobs.JobAccount
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TaskId
import org.elderhitch.json.Json
import org.elderhitch.json.JsonObject
import org.elderhitch.json.MalformedJson
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.scheduler.SchedulerActor
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.settings.NodeName
import org.slf4j.LoggerFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Carries a question to the node that leads; null: it doesn't answer. */
public fun interface LeaderRpcClient {
    public suspend fun ask(leader: NodeName, path: String, body: ByteArray, timeout: Duration): Response?
}

/** What only the leader can tell or decide of a job, asked from any node: of its own table here, or handed on to it. */
public class LeaderRpcHandler(
    private val scheduler: SchedulerActor,
    private val leadershipState: () -> LeadershipState,
    private val line: LeaderRpcClient,
) {
    private val log = LoggerFactory.getLogger("elderhitch.app")

    /** Null: nobody who leads could be asked in the short time that a withdrawal may wait. */
    public suspend fun account(id: JobId): JobAccount? {
        if (leads()) return withTimeoutOrNull(SOON) { here { SchedulerMessage.GetAccount(id, it) } }
        val answer = there("account", mapOf("id" to id.text), SOON) ?: return null
        return decoded { answer.objectOrNull("acct")?.let(JobAccount::decode) }
    }

    /** Null: no leader answers. Empty: the leader knows no such open job. */
    public suspend fun explain(id: JobId): List<String>? {
        if (leads()) return here<List<String>?> { SchedulerMessage.ExplainJob(id, it) }.orEmpty()
        return there("explain", mapOf("id" to id.text), PATIENT)?.let { answer ->
            decoded { answer.stringsOrNull("lines").orEmpty() }
        }
    }

    public suspend fun hold(id: JobId, kind: HoldKind, reason: String): HoldResult {
        if (leads()) return here { SchedulerMessage.HoldJob(id, kind, reason, it) }
        val answer =
            there("hold", mapOf("id" to id.text, "kind" to kind.name, "why" to reason), LONG)
                ?: return HoldResult.NotNow("no leader answers")
        val why = answer.stringOrNull("why").orEmpty()
        return when (answer.stringOrNull("hold")) {
            "held" -> HoldResult.Held
            "inconsistent" -> HoldResult.Inconsistent(why)
            "unknown" -> HoldResult.NoSuchJob
            else -> HoldResult.NotNow(why)
        }
    }

    /** Null: this node doesn't lead. */
    public suspend fun survey(): Map<TaskId, MachineId>? = here { SchedulerMessage.GetPlacements(it) }

    /** Null: not now, or this node doesn't lead. */
    public suspend fun grantDelegation(node: NodeName): DelegationOffer? =
        here { SchedulerMessage.RequestDelegation(node, it) }

    /** Open jobs that failed wherever they were tried; null: no leader answers. */
    public suspend fun atFault(): Set<JobId>? {
        if (leads()) return here { SchedulerMessage.GetFaultyJobs(it) }
        val answer = there("faults", emptyMap(), PATIENT) ?: return null
        return decoded { answer.stringsOrNull("jobs").orEmpty().mapNotNull(JobId::parse).toSet() }
    }

    /** From another node. 503 unless this one leads. */
    public suspend fun handle(request: Request): Response {
        if (!leads()) return HttpServer.refusal(BUSY, "not the leader")
        if (request.path ==
            "faults"
        ) {
            return Response(OK, Json.bytes(mapOf("jobs" to atFault().orEmpty().take(MOST_TOLD).map { it.text })))
        }
        val body: JsonObject
        val id: JobId
        try {
            body = Json.parseObject(request.body)
            id = JobId.parse(body.string("id")) ?: throw MalformedJson("id: no job's")
        } catch (e: MalformedJson) {
            return HttpServer.refusal(BAD, e.message.orEmpty())
        }
        val answer: Map<String, Any?> = when (request.path) {
            "account" -> mapOf("acct" to account(id)?.encode())

            "explain" -> mapOf("lines" to explain(id).orEmpty())

            "hold" -> {
                val kind =
                    HoldKind.entries.firstOrNull { it.name == body.stringOrNull("kind") }
                        ?: return HttpServer.refusal(BAD, "kind: unknown")
                encode(hold(id, kind, body.stringOrNull("why").orEmpty()))
            }

            else -> return HttpServer.refusal(BAD, "no such question")
        }
        return Response(OK, Json.bytes(answer))
    }

    private fun encode(answer: HoldResult): Map<String, Any?> = when (answer) {
        HoldResult.Held -> mapOf("hold" to "held")
        is HoldResult.Inconsistent -> mapOf("hold" to "inconsistent", "why" to answer.reason)
        HoldResult.NoSuchJob -> mapOf("hold" to "unknown")
        is HoldResult.NotNow -> mapOf("hold" to "later", "why" to answer.reason)
    }

    private fun leads(): Boolean = leadershipState() is LeadershipState.Leader

    private suspend fun <T> here(message: (CompletableDeferred<T>) -> SchedulerMessage): T {
        val reply = CompletableDeferred<T>()
        scheduler.tell(message(reply))
        return reply.await()
    }

    private suspend fun there(path: String, body: Map<String, Any?>, timeout: Duration): JsonObject? {
        val leader = (leadershipState() as? LeadershipState.Follower)?.leader ?: return null
        val response = line.ask(leader, path, Json.bytes(body), timeout)?.takeIf { it.status == OK } ?: return null
        return decoded { Json.parseObject(response.body) }
    }

    private fun <T> decoded(read: () -> T?): T? = try {
        read()
    } catch (e: MalformedJson) {
        log.info("malformed answer from=leader reason=\"{}\"", e.message)
        null
    }

    private companion object {
        const val OK = 200
        const val BAD = 400
        const val BUSY = 503

        /** A withdrawal without the leader's word is as good, but for its account. */
        val SOON = 300.milliseconds
        val PATIENT = 1500.milliseconds

        /** Of jobs that are all at fault, as many as an answer's line holds. */
        const val MOST_TOLD = 1000

        /** A hold is a write, tried three times. */
        val LONG = 8.seconds
    }
}
