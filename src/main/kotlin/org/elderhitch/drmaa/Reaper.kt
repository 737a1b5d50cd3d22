package org.elderhitch.drmaa

import kotlinx.coroutines.CompletableDeferred
import org.elderhitch.jobs.JobLookup
import org.elderhitch.jobs.JobResponse
import org.elderhitch.jobs.JobService
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.jobs.TerminalState
import org.elderhitch.store.CommitOutcome
import org.elderhitch.store.Condition
import org.elderhitch.store.Entry
import org.elderhitch.store.ReadOutcome
import org.elderhitch.store.RequestPriority
import org.elderhitch.store.StateClient
import org.elderhitch.store.Write
import org.slf4j.LoggerFactory

/** The result of a job or of a bulk job's member, as reported to its client. */
public class JobResult(
    public val name: ResultName,
    public val ended: TerminalState,
    public val record: TerminalRecord?,
) {
    /** A member that completed before its job was cancelled counts as done. */
    public val isDone: Boolean get() = ended == TerminalState.DONE
}

public sealed interface Reaped {
    public class Taken(public val places: Collection<ResultName>) : Reaped

    /** Some were taken by another request, or had expired; nothing was taken now. */
    public class Gone(public val gone: Collection<ResultName>) : Reaped
    public class Unavailable(public val reason: String) : Reaped
}

/**
 * Takes results, each at most once. A block is replaced on condition of the version that was read: of two concurrent
 * requests for a result, the second finds another version, reads the block again and sees that the result was taken.
 * The block records which request took a result, so a retry after a lost answer gets the same result. A transaction
 * that is carried out late fails on the version as well.
 */
public class Reaper(
    private val sessionRegistry: SessionRegistry,
    private val client: StateClient,
    private val jobService: JobService,
) {
    private val log = LoggerFactory.getLogger("elderhitch.drmaa")

    /** Takes [results], all of the block [key]: either all of them or none. */
    public suspend fun take(
        key: ReapKey,
        results: Collection<ResultName>,
        request: RequestId?,
        priority: RequestPriority = RequestPriority.RECORD,
    ): Reaped {
        repeat(MAX_ATTEMPTS) {
            val block =
                sessionRegistry.query(key.session) { it.state.block(key) }
                    ?: return Reaped.Unavailable("the session was closed")
            val gone = results.filter { it.place in block }
            val takenByOthers = if (request == null) gone else gone.filter { !block.wentTo(it.place, request) }
            if (takenByOthers.isNotEmpty()) return Reaped.Gone(takenByOthers)
            if (gone.size == results.size) return Reaped.Taken(results)
            val next = block.plus(results.map { it.place }, request)
            val outcome = client.commit(
                listOf(Condition(key.toString(), block.version)),
                listOf(Write.Put(key.toString(), next.encode())),
                priority,
            )
            when (outcome) {
                is CommitOutcome.Committed -> {
                    sessionRegistry.tell(RegistryMessage.ResultsTaken(key, next.at(outcome.revision)))
                    if (log.isDebugEnabled) log.debug("results taken request={} results={}", request, results)
                    return Reaped.Taken(results)
                }

                // Another request or an earlier attempt of this one may have been stored: check the stored block.
                is CommitOutcome.Conflict, CommitOutcome.Unknown -> if (!readBlock(
                        key,
                    )
                ) {
                    return Reaped.Unavailable("the state service doesn't answer")
                }

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return Reaped.Unavailable(
                    "the change can't be recorded at the moment",
                )
            }
        }
        return Reaped.Unavailable("the state service doesn't answer")
    }

    private suspend fun readBlock(key: ReapKey): Boolean =
        when (val read = client.read(key.toString(), RequestPriority.RECORD)) {
            is ReadOutcome.Found -> ReapBlock.decode(read.entry.value, read.entry.version)?.let {
                sessionRegistry.tell(RegistryMessage.ResultsTaken(key, it))
                true
            } ?: false

            ReadOutcome.Absent -> true

            ReadOutcome.Unavailable -> false
        }

    /**
     * Reads the outcome of a result that has ended. To be called before the result is taken, since a result that can't
     * be read must not be taken. Null if it is not available now.
     */
    public suspend fun readResult(name: ResultName): JobResult? {
        val completed = sessionRegistry.query(name.job.session) { it.state.isCompleted(name) } ?: return null
        val record = when (val known = jobService.lookup(name.job.id)) {
            is JobLookup.Ended -> known.record

            // A member may be done while others still run.
            is JobLookup.Open -> if (completed && name.member != null) null else return null

            else -> if (jobService.show(name.job.id) is JobResponse.State) {
                (jobService.lookup(name.job.id) as? JobLookup.Ended)?.record
                    ?: return null
            } else {
                return null
            }
        }
        val ended = if (name.member != null && completed) TerminalState.DONE else record?.state ?: return null
        return JobResult(name, ended, record)
    }

    private companion object {
        const val MAX_ATTEMPTS = 6
    }
}

/** Loads what a node only knows of the sessions used on it: terminal records and taken results. */
public class SessionLoader(private val sessionRegistry: SessionRegistry, private val client: StateClient) {
    private val loading = HashMap<SessionName, CompletableDeferred<Boolean>>()

    /** Makes all that was recorded of the session before this call known on this node; false if that failed. */
    public suspend fun load(session: SessionName): Boolean {
        if (sessionRegistry.query(session) { it.loaded } != false) return true
        loading[session]?.let { return it.await() }
        val done = CompletableDeferred<Boolean>()
        loading[session] = done
        var read = false
        try {
            read = read(session)
        } finally {
            loading.remove(session)
            done.complete(read)
        }
        return read
    }

    private suspend fun read(session: SessionName): Boolean {
        val epoch = sessionRegistry.epoch
        // Changes that arrive during the read reach the registry as well. Their order doesn't matter: the state of a
        // job only moves forward.
        val endings = list(DrmaaKeys.endings(session)) { entry ->
            SessionRegistry.jobOf(entry.key)?.let { job ->
                TerminalRecord.decode(entry.value)?.let {
                    job to
                        TerminalRecord(it.state, it.done)
                }
            }
        } ?: return false
        val blocks = list(ReapKey.prefix(session)) { entry ->
            ReapKey.parse(entry.key)?.let { key -> ReapBlock.decode(entry.value, entry.version)?.let { key to it } }
        } ?: return false
        sessionRegistry.tell(RegistryMessage.Loaded(session, epoch, endings, blocks))
        return sessionRegistry.query(session) { it.loaded } != false
    }

    private suspend fun <T> list(prefix: String, read: (Entry) -> T?): List<T>? {
        val all = ArrayList<T>()
        var after: String? = null
        while (true) {
            val page = client.list(prefix, after) ?: return null
            page.entries.mapNotNullTo(all, read)
            after = page.entries.lastOrNull()?.key
            if (!page.more || after == null) return all
        }
    }
}
