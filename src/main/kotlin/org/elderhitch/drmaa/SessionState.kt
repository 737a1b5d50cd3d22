package org.elderhitch.drmaa

import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.TerminalState
import java.util.BitSet
import java.util.TreeMap

/** The state of a result from a waiting client's view. */
public enum class ResultState {
    /** Not a result of the session as far as this node knows. */
    UNKNOWN,
    OPEN,
    ENDED,
    TAKEN,
}

/**
 * A node's view of a session's jobs, kept in a few bits per job since a session may have many thousands. The state of a
 * job only moves forward (open, ended, taken), so lists and changes from the state service may arrive in any order.
 */
public class SessionState(public val name: SessionName) {
    private class BulkJob(val count: Int) {
        val completed = CompletedTasks(count)
        var ending: TerminalState? = null

        /** All members before it are taken, so scans start here. */
        var firstUntaken = 0
    }

    private class Client {
        /** Jobs submitted and not ended, by number. */
        val open = BitSet()

        /** Jobs that have ended, by number. */
        val ended = BitSet()
        val bulks = TreeMap<Int, BulkJob>()

        /** Ended jobs all of whose results are taken, as found by an earlier scan; later scans skip them. */
        val exhausted = BitSet()

        /** The first job number from [from] on that may have untaken results; -1 if there is none. */
        fun next(from: Int): Int {
            var at = from
            while (true) {
                val first = open.nextSetBit(at)
                val second = ended.nextSetBit(at)
                val number = if (first < 0) {
                    second
                } else if (second < 0) {
                    first
                } else {
                    minOf(first, second)
                }
                if (number < 0 || !exhausted[number]) return number
                at = exhausted.nextClearBit(number)
            }
        }

        fun remaining(): Sequence<Int> = generateSequence(next(0).takeIf { it >= 0 }) { number ->
            next(number + 1).takeIf {
                it >=
                    0
            }
        }
    }

    private val clients = TreeMap<ClientTag, Client>()
    private val blocks = HashMap<ReapKey, ReapBlock>()

    /** Results that a request is about to take; other requests choose different ones. */
    private val claimed = HashSet<ResultName>()

    private fun client(tag: ClientTag) = clients.getOrPut(tag) { Client() }

    private fun Client.bulk(job: JobName): BulkJob? = job.members?.let { count ->
        bulks.getOrPut(job.number) { BulkJob(count) }
    }

    public fun markOpened(job: JobName) {
        val client = client(job.tag)
        if (conflictsWith(job)) return
        client.bulk(job)
        if (!client.ended[job.number]) client.open.set(job.number)
    }

    public fun markEnded(job: JobName, state: TerminalState) {
        val client = client(job.tag)
        client.open.clear(job.number)
        client.ended.set(job.number)
        client.bulk(job)?.ending = state
    }

    /** Merges a recorded block of a bulk job's completed tasks; no-op for other jobs. False if [value] is malformed. */
    public fun addCompleted(job: JobName, block: Int, value: String): Boolean =
        client(job.tag).bulk(job)?.completed?.unpack(block, value) ?: true

    public fun updateBlock(key: ReapKey, block: ReapBlock) {
        val known = blocks[key]
        if (known == null || known.version < block.version) blocks[key] = block
    }

    public fun block(key: ReapKey): ReapBlock = blocks[key] ?: ReapBlock.EMPTY

    public fun isKnown(job: JobName): Boolean =
        clients[job.tag]?.let { it.open[job.number] || it.ended[job.number] } ?: false

    /** Whether the number belongs to a job with another number of members, which is a client's mistake. */
    public fun conflictsWith(job: JobName): Boolean =
        isKnown(job) && clients[job.tag]?.bulks?.get(job.number)?.count != job.members

    /** Whether a bulk job's member completed, be the job ended or not; false for jobs that are not bulk jobs. */
    public fun isCompleted(result: ResultName): Boolean {
        val bulk = clients[result.job.tag]?.bulks?.get(result.job.number) ?: return false
        return bulk.ending == TerminalState.DONE || result.member != null && result.member in bulk.completed
    }

    public fun stateOf(result: ResultName): ResultState {
        val client = clients[result.job.tag] ?: return ResultState.UNKNOWN
        if (!client.open[result.job.number] && !client.ended[result.job.number]) return ResultState.UNKNOWN
        // An id with another number of members than the job has doesn't name it.
        if (client.bulks[result.job.number]?.count != result.job.members) return ResultState.UNKNOWN
        return when {
            result.place in block(result.block) -> ResultState.TAKEN
            client.ended[result.job.number] || isCompleted(result) -> ResultState.ENDED
            else -> ResultState.OPEN
        }
    }

    /** The first result that has ended and is neither taken nor claimed. */
    public fun nextEnded(): ResultName? {
        for ((tag, client) in clients) {
            for (number in client.remaining()) {
                firstEndedOf(tag, client, number)?.let { return it }
                if (isExhausted(tag, client, number)) client.exhausted.set(number)
            }
        }
        return null
    }

    /** The results of a job, without the leading members of a bulk job that are taken. */
    private fun results(tag: ClientTag, client: Client, number: Int): Sequence<ResultName> {
        val bulk = client.bulks[number]
        val job = JobName(name, tag, number, bulk?.count)
        if (bulk == null) return sequenceOf(ResultName(job, null))
        while (bulk.firstUntaken < bulk.count &&
            ResultName(job, bulk.firstUntaken).let { it.place in block(it.block) }
        ) {
            bulk.firstUntaken++
        }
        return (bulk.firstUntaken until bulk.count).asSequence().map { ResultName(job, it) }
    }

    private fun firstEndedOf(tag: ClientTag, client: Client, number: Int): ResultName? {
        val bulk = client.bulks[number]
        if (!client.ended[number] && (bulk == null || bulk.completed.count == 0)) return null
        return results(tag, client, number).firstOrNull { stateOf(it) == ResultState.ENDED && it !in claimed }
    }

    private fun isExhausted(tag: ClientTag, client: Client, number: Int): Boolean =
        client.ended[number] && results(tag, client, number).all { stateOf(it) == ResultState.TAKEN }

    /** Whether the session has results that are not taken, ended or not. */
    public fun hasResultsLeft(): Boolean = clients.any { (tag, client) ->
        client.remaining().any { number ->
            results(tag, client, number).any {
                stateOf(it) !=
                    ResultState.TAKEN
            }
        }
    }

    public fun claim(result: ResultName): Boolean = claimed.add(result)

    public fun unclaim(result: ResultName) {
        claimed.remove(result)
    }

    /** The one result that an earlier attempt of [request] took; null if none is recorded. */
    public fun takenBy(request: RequestId): ResultName? {
        for ((key, block) in blocks) {
            val place = block.takenBy(request) ?: continue
            val client = clients[key.tag] ?: continue
            val index = key.block * CompletedTasks.BLOCK_SIZE + place
            return if (key.bulk == null) {
                ResultName(JobName(name, key.tag, index, null), null)
            } else {
                val bulk = client.bulks[key.bulk] ?: continue
                ResultName(JobName(name, key.tag, key.bulk, bulk.count), index)
            }
        }
        return null
    }

    /** Each client's highest job number; bounds what "all jobs so far" means. */
    public fun highestNumbers(): Map<ClientTag, Int> = clients.mapValues { (_, client) ->
        maxOf(client.open.length(), client.ended.length()) -
            1
    }

    /** Jobs that have not ended, with numbers up to [upTo] of their client; null: all. */
    public fun openJobs(upTo: Map<ClientTag, Int>? = null): Sequence<JobName> =
        clients.asSequence().flatMap { (tag, client) ->
            val maxNumber = if (upTo == null) Int.MAX_VALUE else upTo[tag] ?: -1
            client.open.stream().iterator().asSequence().takeWhile {
                it <= maxNumber
            }.map { JobName(name, tag, it, client.bulks[it]?.count) }
        }

    /** Results that have ended and are not taken, of jobs with numbers up to [upTo] of their client; null: all. */
    public fun endedResults(upTo: Map<ClientTag, Int>? = null): Sequence<ResultName> =
        clients.asSequence().flatMap { (tag, client) ->
            val maxNumber = if (upTo == null) Int.MAX_VALUE else upTo[tag] ?: -1
            client.remaining()
                .takeWhile {
                    it <= maxNumber
                }.flatMap { number -> results(tag, client, number) }.filter { stateOf(it) == ResultState.ENDED }
        }

    /** Open jobs and untaken results, each member of a bulk job counted; the session's limit applies to this count. */
    public fun outstandingCount(): Int = clients.values.sumOf {
        it.open.cardinality() + it.ended.cardinality() +
            it.bulks.values.sumOf { bulk -> bulk.count - 1 }
    } -
        blocks.values.sumOf { it.count }
}
