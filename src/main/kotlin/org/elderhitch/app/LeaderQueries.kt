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

/** Sends a request to the controller that leads. */
public fun interface LeaderRpcClient {
    /** Calls [path], one of [LeaderRpc], at [leader]. Null if no answer arrives within [timeout]. */
    public suspend fun ask(leader: NodeName, path: String, body: ByteArray, timeout: Duration): Response?
}

/**
 * Questions about jobs that only the leader can answer. Any controller may ask: if it leads, its own scheduler answers,
 * otherwise [LeaderRpcHandler] at the leader does.
 */
public class LeaderQueries(
    private val scheduler: SchedulerActor,
    private val leadershipState: () -> LeadershipState,
    private val rpcClient: LeaderRpcClient,
) {
    private val log = LoggerFactory.getLogger("elderhitch.app")

    /** The usage of a job so far; null if no leader answers within [ACCOUNT_TIMEOUT] or the leader has none. */
    public suspend fun account(id: JobId): JobAccount? {
        if (isLeader()) {
            return withTimeoutOrNull(ACCOUNT_TIMEOUT) { askScheduler { SchedulerMessage.GetAccount(id, it) } }
        }
        val answer = askLeader(LeaderRpc.ACCOUNT, mapOf(LeaderRpc.ID to id.text), ACCOUNT_TIMEOUT) ?: return null
        return decoded { answer.objectOrNull(LeaderRpc.JOB_ACCOUNT)?.let(JobAccount::decode) }
    }

    /** Why the job is in its state; empty if the leader knows no such open job, null if no leader answers. */
    public suspend fun explain(id: JobId): List<String>? {
        if (isLeader()) return askScheduler<List<String>?> { SchedulerMessage.ExplainJob(id, it) }.orEmpty()
        val answer = askLeader(LeaderRpc.EXPLAIN, mapOf(LeaderRpc.ID to id.text), QUERY_TIMEOUT) ?: return null
        return decoded { answer.stringsOrNull(LeaderRpc.LINES).orEmpty() }
    }

    /** Has the leader hold the job. */
    public suspend fun hold(id: JobId, kind: HoldKind, reason: String): HoldResult {
        if (isLeader()) return askScheduler { SchedulerMessage.HoldJob(id, kind, reason, it) }
        val body = mapOf(LeaderRpc.ID to id.text, LeaderRpc.KIND to kind.name, LeaderRpc.REASON to reason)
        val answer = askLeader(LeaderRpc.HOLD, body, HOLD_TIMEOUT) ?: return HoldResult.NotNow("no leader answers")
        return LeaderRpc.decodeHoldResult(answer)
    }

    /** The machine of each task; null if this controller doesn't lead. */
    public suspend fun placements(): Map<TaskId, MachineId>? = askScheduler { SchedulerMessage.GetPlacements(it) }

    /** Names [node] a lease delegate; null if that isn't possible now, or if this controller doesn't lead. */
    public suspend fun grantDelegation(node: NodeName): DelegationOffer? =
        askScheduler { SchedulerMessage.RequestDelegation(node, it) }

    /** Open jobs whose tasks failed on every machine that tried them; null if no leader answers. */
    public suspend fun faultyJobs(): Set<JobId>? {
        if (isLeader()) return askScheduler { SchedulerMessage.GetFaultyJobs(it) }
        val answer = askLeader(LeaderRpc.FAULTY_JOBS, emptyMap(), QUERY_TIMEOUT) ?: return null
        return decoded { answer.stringsOrNull(LeaderRpc.JOBS).orEmpty().mapNotNull(JobId::parse).toSet() }
    }

    internal fun isLeader(): Boolean = leadershipState() is LeadershipState.Leader

    private suspend fun <T> askScheduler(message: (CompletableDeferred<T>) -> SchedulerMessage): T {
        val reply = CompletableDeferred<T>()
        scheduler.tell(message(reply))
        return reply.await()
    }

    private suspend fun askLeader(path: String, body: Map<String, Any?>, timeout: Duration): JsonObject? {
        val leader = (leadershipState() as? LeadershipState.Follower)?.leader ?: return null
        val response = rpcClient.ask(leader, path, Json.bytes(body), timeout) ?: return null
        if (response.status != HttpStatus.OK) return null
        return decoded { Json.parseObject(response.body) }
    }

    private fun <T> decoded(decode: () -> T?): T? = try {
        decode()
    } catch (e: MalformedJson) {
        log.info("malformed answer from=leader reason=\"{}\"", e.message)
        null
    }

    private companion object {
        /** Short, because a cancellation waits for the account, and is valid without it. */
        val ACCOUNT_TIMEOUT = 300.milliseconds
        val QUERY_TIMEOUT = 1500.milliseconds

        /** Covers three attempts to write the hold to the state service. */
        val HOLD_TIMEOUT = 8.seconds
    }
}
