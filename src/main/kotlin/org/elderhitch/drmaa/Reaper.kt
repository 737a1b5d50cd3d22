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

/** A result as its client is told it. */
public class Result(public val name: ResultName, public val ended: TerminalState, public val record: TerminalRecord?) {
    /** A member that completed before its job was withdrawn completed, whatever became of the others. */
    public val done: Boolean get() = ended == TerminalState.DONE
}

public sealed interface Reaped {
    public class Taken(public val places: Collection<ResultName>) : Reaped

    /** Some went to another request. */
    public class Gone(public val gone: Collection<ResultName>) : Reaped
    public class NotNow(public val reason: String) : Reaped
}

/**
 * Takes results away, each once. The value of a block is replaced under the version that was read: of two requests for
 * one result
 * the second finds another version, reads, and sees that it is gone. An answer that was lost is the same when it is
 * asked for again,
 * since the block says by which request a result was taken; and a transaction that is carried out late finds another
 * version as well.
 */
public class Reaper(
    private val sessionRegistry: SessionRegistry,
    private val client: StateClient,
    private val jobService: JobService,
) {
    private val log = LoggerFactory.getLogger("elderhitch.drmaa")

    /** Takes results of one block; all of them, or none. */
    public suspend fun take(
        key: ReapKey,
        results: Collection<ResultName>,
        request: RequestId?,
        purpose: RequestPriority = RequestPriority.RECORD,
    ): Reaped {
        repeat(TRIES) {
            val block =
                sessionRegistry.look(key.session) { it.state.block(key) }
                    ?: return Reaped.NotNow("the session was closed")
            val gone = results.filter { it.place in block }
            val others = if (request == null) gone else gone.filter { !block.wentTo(it.place, request) }
            if (others.isNotEmpty()) return Reaped.Gone(others)
            if (gone.size == results.size) return Reaped.Taken(results)
            val next = block.plus(results.map { it.place }, request)
            val outcome = client.commit(
                listOf(Condition(key.toString(), block.version)),
                listOf(Write.Put(key.toString(), next.encode())),
                purpose,
            )
            when (outcome) {
                is CommitOutcome.Committed -> {
                    sessionRegistry.tell(BookMessage.Took(key, next.at(outcome.revision)))
                    if (log.isDebugEnabled) log.debug("results taken request={} results={}", request, results)
                    return Reaped.Taken(results)
                }

                // Somebody else's, or an earlier try of this one: what the state service holds now decides.
                is CommitOutcome.Conflict, CommitOutcome.Unknown -> if (!read(
                        key,
                    )
                ) {
                    return Reaped.NotNow("the state service doesn't answer")
                }

                CommitOutcome.Refused, CommitOutcome.NoSuchLease -> return Reaped.NotNow(
                    "the state service takes no record now",
                )
            }
        }
        return Reaped.NotNow("the state service doesn't answer")
    }

    private suspend fun read(key: ReapKey): Boolean =
        when (val read = client.read(key.toString(), RequestPriority.RECORD)) {
            is ReadOutcome.Found -> ReapBlock.decode(read.entry.value, read.entry.version)?.let {
                sessionRegistry.tell(BookMessage.Took(key, it))
                true
            } ?: false

            ReadOutcome.Absent -> true

            ReadOutcome.Unavailable -> false
        }

    /**
     * What there is to tell of a result that has ended; read before it is taken, as a result that can't be told must
     * stay. Null: not now.
     */
    public suspend fun result(name: ResultName): Result? {
        val completed = sessionRegistry.look(name.job.session) { it.state.completed(name) } ?: return null
        val record = when (val known = jobService.lookup(name.job.id)) {
            is JobLookup.Ended -> known.record

            // A member may be done while others run.
            is JobLookup.Open -> if (completed && name.member != null) null else return null

            else -> if (jobService.show(name.job.id) is JobResponse.State) {
                (jobService.lookup(name.job.id) as? JobLookup.Ended)?.record
                    ?: return null
            } else {
                return null
            }
        }
        val ended = if (name.member != null && completed) TerminalState.DONE else record?.state ?: return null
        return Result(name, ended, record)
    }

    private companion object {
        const val TRIES = 6
    }
}

/** Reads what is only known of sessions in use: their endings, and what was taken of them. */
public class SessionLoader(private val sessionRegistry: SessionRegistry, private val client: StateClient) {
    private val loading = HashMap<SessionName, CompletableDeferred<Boolean>>()

    /** Afterwards all that was recorded of the session when this was called is known here; false: not now. */
    public suspend fun load(session: SessionName): Boolean {
        if (sessionRegistry.look(session) { it.loaded } != false) return true
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
        // Changes that come while the lists are read are told to the book as well: all of it only ever adds.
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
        sessionRegistry.tell(BookMessage.Loaded(session, epoch, endings, blocks))
        return sessionRegistry.look(session) { it.loaded } != false
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
