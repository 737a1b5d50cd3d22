package org.elderhitch.app

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.elderhitch.delegates.DelegationOffer
import org.elderhitch.fleet.MachineId
import org.elderhitch.http.HttpStatus
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

/** Sends requests to the leader. */
public fun interface LeaderRpcClient {
    /** Calls [path], one of [LeaderRpc], at [leader]. Null if no response arrives within [timeout]. */
    public suspend fun call(leader: NodeName, path: String, body: ByteArray, timeout: Duration): Response?
}

/**
 * Queries and requests about jobs that only the leader can serve. Any controller may send them: on the leader its own
 * scheduler serves them, elsewhere they are sent to [LeaderRpcHandler] at the leader.
 */
public class LeaderQueries(
    private val scheduler: SchedulerActor,
    private val leadershipState: () -> LeadershipState,
    private val rpcClient: LeaderRpcClient,
) {
    private val log = LoggerFactory.getLogger("elderhitch.app")

    /** The resource usage of a job so far; null if no leader responds within [ACCOUNT_TIMEOUT] or it has none. */
    public suspend fun account(id: JobId): JobAccount? {
        if (isLeader()) {
            return withTimeoutOrNull(ACCOUNT_TIMEOUT) { askScheduler { SchedulerMessage.GetAccount(id, it) } }
        }
        val answer =
            askLeader(LeaderRpc.ACCOUNT_PATH, mapOf(LeaderRpc.ID_FIELD to id.text), ACCOUNT_TIMEOUT) ?: return null
        return decodeOrNull { answer.objectOrNull(LeaderRpc.ACCOUNT_FIELD)?.let(JobAccount::decode) }
    }

    /** Explains the state of a job; empty if the leader knows no such open job, null if no leader responds. */
    public suspend fun explain(id: JobId): List<String>? {
        if (isLeader()) return askScheduler<List<String>?> { SchedulerMessage.ExplainJob(id, it) }.orEmpty()
        val answer =
            askLeader(LeaderRpc.EXPLAIN_PATH, mapOf(LeaderRpc.ID_FIELD to id.text), QUERY_TIMEOUT) ?: return null
        return decodeOrNull { answer.stringsOrNull(LeaderRpc.LINES_FIELD).orEmpty() }
    }

    /** Asks the leader to hold the job. */
    public suspend fun hold(id: JobId, kind: HoldKind, reason: String): HoldResult {
        if (isLeader()) return askScheduler { SchedulerMessage.HoldJob(id, kind, reason, it) }
        val body =
            mapOf(LeaderRpc.ID_FIELD to id.text, LeaderRpc.KIND_FIELD to kind.name, LeaderRpc.REASON_FIELD to reason)
        val answer = askLeader(LeaderRpc.HOLD_PATH, body, HOLD_TIMEOUT) ?: return HoldResult.NotNow("no leader answers")
        return LeaderRpc.decodeHoldResult(answer)
    }

    /** The machine of each task; null if this controller isn't the leader. */
    public suspend fun placements(): Map<TaskId, MachineId>? = askScheduler { SchedulerMessage.GetPlacements(it) }

    /** Makes [node] a lease delegate; null if that isn't possible now, or if this controller isn't the leader. */
    public suspend fun grantDelegation(node: NodeName): DelegationOffer? =
        askScheduler { SchedulerMessage.RequestDelegation(node, it) }

    /** Open jobs whose tasks failed on every machine that tried them; null if no leader responds. */
    public suspend fun faultyJobs(): Set<JobId>? {
        if (isLeader()) return askScheduler { SchedulerMessage.GetFaultyJobs(it) }
        val answer = askLeader(LeaderRpc.FAULTY_JOBS_PATH, emptyMap(), QUERY_TIMEOUT) ?: return null
        return decodeOrNull { answer.stringsOrNull(LeaderRpc.JOBS_FIELD).orEmpty().mapNotNull(JobId::parse).toSet() }
    }

    internal fun isLeader(): Boolean = leadershipState() is LeadershipState.Leader

    private suspend fun <T> askScheduler(message: (CompletableDeferred<T>) -> SchedulerMessage): T {
        val reply = CompletableDeferred<T>()
        scheduler.tell(message(reply))
        return reply.await()
    }

    private suspend fun askLeader(path: String, body: Map<String, Any?>, timeout: Duration): JsonObject? {
        val leader = (leadershipState() as? LeadershipState.Follower)?.leader ?: return null
        val response = rpcClient.call(leader, path, Json.bytes(body), timeout) ?: return null
        if (response.status != HttpStatus.OK) return null
        return decodeOrNull { Json.parseObject(response.body) }
    }

    private fun <T> decodeOrNull(decode: () -> T?): T? = try {
        decode()
    } catch (e: MalformedJson) {
        log.info("malformed answer from=leader reason=\"{}\"", e.message)
        null
    }

    private companion object {
        /** Short because a cancellation waits for the account, but doesn't depend on it. */
        val ACCOUNT_TIMEOUT = 300.milliseconds
        val QUERY_TIMEOUT = 1500.milliseconds

        /** Long enough for three attempts to write the hold to the state service. */
        val HOLD_TIMEOUT = 8.seconds
    }
}
