package org.elderhitch.drmaa

import org.elderhitch.jobs.Ending
import org.elderhitch.jobs.FinishedTasks
import java.util.BitSet
import java.util.TreeMap

/** How a result stands, for who waits for it. */
public enum class ResultState {
    /** Not a result of the session, as far as is known here. */
    UNKNOWN,
    OPEN,
    ENDED,
    TAKEN,
}

/**
 * What a node knows of a session's jobs: a few bits each, since a session may have many thousands. Everything in it only ever
 * grows (open, ended, taken), so it doesn't matter in which order the state service's lists and changes are told.
 */
public class SessionState(public val name: SessionName) {
    private class Members(val count: Int) {
        val finished = FinishedTasks(count)
        var ending: Ending? = null
    }

    private class Client {
        /** By number: submitted and not ended; ended. */
        val open = BitSet()
        val ended = BitSet()
        val bulks = TreeMap<Int, Members>()

        /** Results of the session may be looked for from here on; what lies before is taken. */
        var firstUntaken = 0

        /** Numbers may become known in any order: a repeat of an earlier request may be recorded after a later one. */
        fun seen(number: Int) {
            firstUntaken = minOf(firstUntaken, number)
        }
    }

    private val clients = TreeMap<ClientTag, Client>()
    private val blocks = HashMap<ReapKey, ReapBlock>()

    /** Results that a request is just taking: others choose another one. */
    private val claimed = HashSet<ResultName>()

    private fun client(tag: ClientTag) = clients.getOrPut(tag) { Client() }

    private fun Client.bulk(job: JobName): Members? = job.members?.let { count -> bulks.getOrPut(job.number) { Members(count) } }

    public fun opened(job: JobName) {
        val client = client(job.tag)
        if (differs(job)) return
        client.bulk(job)
        client.seen(job.number)
        if (!client.ended[job.number]) client.open.set(job.number)
    }

    public fun ended(job: JobName, how: Ending) {
        val client = client(job.tag)
        client.seen(job.number)
        client.open.clear(job.number)
        client.ended.set(job.number)
        client.bulk(job)?.ending = how
    }

    /** A recorded block of finished tasks; of jobs other than bulk ones only the end counts. */
    public fun finished(job: JobName, block: Int, value: String): Boolean = client(job.tag).bulk(job)?.finished?.unpack(block, value) ?: true

    public fun taken(key: ReapKey, block: ReapBlock) {
        val known = blocks[key]
        if (known == null || known.version < block.version) blocks[key] = block
    }

    public fun block(key: ReapKey): ReapBlock = blocks[key] ?: ReapBlock.EMPTY

    public fun has(job: JobName): Boolean = clients[job.tag]?.let { it.open[job.number] || it.ended[job.number] } ?: false

    /** Whether the number stands for another job, with other members: a client's mistake. */
    public fun differs(job: JobName): Boolean = has(job) && clients[job.tag]?.bulks?.get(job.number)?.count != job.members

    /** Whether the member of a bulk job that has ended, or has not, completed by itself. */
    public fun completed(result: ResultName): Boolean {
        val members = clients[result.job.tag]?.bulks?.get(result.job.number) ?: return false
        return members.ending == Ending.DONE || result.member != null && result.member in members.finished
    }

    public fun stateOf(result: ResultName): ResultState {
        val client = clients[result.job.tag] ?: return ResultState.UNKNOWN
        if (!client.open[result.job.number] && !client.ended[result.job.number]) return ResultState.UNKNOWN
        // An id that gives another count of members than the job has is no name of it.
        if (client.bulks[result.job.number]?.count != result.job.members) return ResultState.UNKNOWN
        return when {
            result.place in block(result.block) -> ResultState.TAKEN
            client.ended[result.job.number] || completed(result) -> ResultState.ENDED
            else -> ResultState.OPEN
        }
    }

    /** The first result that has ended, is not taken, and is not just being taken. */
    public fun anyEnded(): ResultName? {
        for ((tag, client) in clients) {
            var n = nextJob(client, client.firstUntaken)
            var allBefore = true
            while (n >= 0) {
                val found = endedIn(tag, client, n)
                if (found != null) return found
                allBefore = allBefore && allTaken(tag, client, n)
                if (allBefore) client.firstUntaken = n + 1
                n = nextJob(client, n + 1)
            }
        }
        return null
    }

    private fun nextJob(client: Client, from: Int): Int {
        val open = client.open.nextSetBit(from)
        val ended = client.ended.nextSetBit(from)
        return if (open < 0) ended else if (ended < 0) open else minOf(open, ended)
    }

    private fun results(tag: ClientTag, client: Client, n: Int): Sequence<ResultName> {
        val members = client.bulks[n]
        val job = JobName(name, tag, n, members?.count)
        return if (members == null) sequenceOf(ResultName(job, null)) else (0 until members.count).asSequence().map { ResultName(job, it) }
    }

    private fun endedIn(tag: ClientTag, client: Client, n: Int): ResultName? {
        val members = client.bulks[n]
        if (!client.ended[n] && (members == null || members.finished.count == 0)) return null
        return results(tag, client, n).firstOrNull { stateOf(it) == ResultState.ENDED && it !in claimed }
    }

    private fun allTaken(tag: ClientTag, client: Client, n: Int): Boolean =
        client.ended[n] && results(tag, client, n).all { stateOf(it) == ResultState.TAKEN }

    /** Whether anything of the session is left to wait for. */
    public fun anyLeft(): Boolean = clients.any { (tag, client) ->
        generateSequence(nextJob(client, client.firstUntaken).takeIf { it >= 0 }) { n -> nextJob(client, n + 1).takeIf { it >= 0 } }
            .any { n -> results(tag, client, n).any { stateOf(it) != ResultState.TAKEN } }
    }

    public fun claim(result: ResultName): Boolean = claimed.add(result)

    public fun unclaim(result: ResultName) {
        claimed.remove(result)
    }

    /** The result that a request took before; null: none that is remembered. */
    public fun takenBy(request: RequestId): ResultName? {
        for ((key, block) in blocks) {
            val place = block.takenBy(request) ?: continue
            val client = clients[key.tag] ?: continue
            val at = key.block * FinishedTasks.BLOCK + place
            return if (key.bulk == null) {
                ResultName(JobName(name, key.tag, at, null), null)
            } else {
                val members = client.bulks[key.bulk] ?: continue
                ResultName(JobName(name, key.tag, key.bulk, members.count), at)
            }
        }
        return null
    }

    /** The highest number of each client: what "all jobs so far" are. */
    public fun upTo(): Map<ClientTag, Int> = clients.mapValues { (_, client) -> maxOf(client.open.length(), client.ended.length()) - 1 }

    /** Jobs that have not ended, of those up to [upTo]; null: of all. */
    public fun openJobs(upTo: Map<ClientTag, Int>? = null): Sequence<JobName> = clients.asSequence().flatMap { (tag, client) ->
        val most = if (upTo == null) Int.MAX_VALUE else upTo[tag] ?: -1
        client.open.stream().iterator().asSequence().takeWhile { it <= most }.map { JobName(name, tag, it, client.bulks[it]?.count) }
    }

    /** Results that have ended and are not taken, of jobs up to [upTo]. */
    public fun untaken(upTo: Map<ClientTag, Int>? = null): Sequence<ResultName> = clients.asSequence().flatMap { (tag, client) ->
        val most = if (upTo == null) Int.MAX_VALUE else upTo[tag] ?: -1
        generateSequence(nextJob(client, client.firstUntaken).takeIf { it >= 0 }) { n -> nextJob(client, n + 1).takeIf { it >= 0 } }
            .takeWhile { it <= most }.flatMap { n -> results(tag, client, n) }.filter { stateOf(it) == ResultState.ENDED }
    }

    /** Open jobs and results that nobody took, a bulk job by its members; what the bound of a session counts. */
    public fun load(): Int =
        clients.values.sumOf { it.open.cardinality() + it.ended.cardinality() + it.bulks.values.sumOf { bulk -> bulk.count - 1 } } - blocks.values.sumOf { it.count }

    /** All bulk jobs that are known: their finished blocks are kept until the session goes. */
    public fun bulks(): Sequence<JobName> =
        clients.asSequence().flatMap { (tag, client) -> client.bulks.asSequence().map { (number, members) -> JobName(name, tag, number, members.count) } }

    public fun reapKeys(): Set<ReapKey> = blocks.keys
}
