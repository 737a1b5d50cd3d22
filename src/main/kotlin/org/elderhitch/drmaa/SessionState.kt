package org.elderhitch.drmaa

import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.TerminalState
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
 * What a node knows of a session's jobs: a few bits each, since a session may have many thousands. Everything in it
 * only ever
 * grows (open, ended, taken), so it doesn't matter in which order the state service's lists and changes are told.
 */
public class SessionState(public val name: SessionName) {
    private class Members(val count: Int) {
        val finished = CompletedTasks(count)
        var ending: TerminalState? = null

        /** All before it are taken, for ever: they are passed no more. */
        var firstLeft = 0
    }

    private class Client {
        /** By number: submitted and not ended; ended. */
        val open = BitSet()
        val ended = BitSet()
        val bulks = TreeMap<Int, Members>()

        /** Ended, and all of its results are taken: found out when it is next passed, and then passed no more. */
        val gone = BitSet()

        /** The first job from [from] on that may have results left; -1: none. */
        fun next(from: Int): Int {
            var at = from
            while (true) {
                val first = open.nextSetBit(at)
                val second = ended.nextSetBit(at)
                val n = if (first < 0) {
                    second
                } else if (second < 0) {
                    first
                } else {
                    minOf(first, second)
                }
                if (n < 0 || !gone[n]) return n
                at = gone.nextClearBit(n)
            }
        }

        fun left(): Sequence<Int> = generateSequence(next(0).takeIf { it >= 0 }) { n -> next(n + 1).takeIf { it >= 0 } }
    }

    private val clients = TreeMap<ClientTag, Client>()
    private val blocks = HashMap<ReapKey, ReapBlock>()

    /** Results that a request is just taking: others choose another one. */
    private val claimed = HashSet<ResultName>()

    private fun client(tag: ClientTag) = clients.getOrPut(tag) { Client() }

    private fun Client.bulk(job: JobName): Members? = job.members?.let { count ->
        bulks.getOrPut(job.number) { Members(count) }
    }

    public fun opened(job: JobName) {
        val client = client(job.tag)
        if (differs(job)) return
        client.bulk(job)
        if (!client.ended[job.number]) client.open.set(job.number)
    }

    public fun ended(job: JobName, how: TerminalState) {
        val client = client(job.tag)
        client.open.clear(job.number)
        client.ended.set(job.number)
        client.bulk(job)?.ending = how
    }

    /** A recorded block of finished tasks; of jobs other than bulk ones only the end counts. */
    public fun finished(job: JobName, block: Int, value: String): Boolean =
        client(job.tag).bulk(job)?.finished?.unpack(block, value) ?: true

    public fun taken(key: ReapKey, block: ReapBlock) {
        val known = blocks[key]
        if (known == null || known.version < block.version) blocks[key] = block
    }

    public fun block(key: ReapKey): ReapBlock = blocks[key] ?: ReapBlock.EMPTY

    public fun has(job: JobName): Boolean =
        clients[job.tag]?.let { it.open[job.number] || it.ended[job.number] } ?: false

    /** Whether the number stands for another job, with other members: a client's mistake. */
    public fun differs(job: JobName): Boolean =
        has(job) && clients[job.tag]?.bulks?.get(job.number)?.count != job.members

    /** Whether the member of a bulk job that has ended, or has not, completed by itself. */
    public fun completed(result: ResultName): Boolean {
        val members = clients[result.job.tag]?.bulks?.get(result.job.number) ?: return false
        return members.ending == TerminalState.DONE || result.member != null && result.member in members.finished
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
            for (n in client.left()) {
                endedIn(tag, client, n)?.let { return it }
                if (allTaken(tag, client, n)) client.gone.set(n)
            }
        }
        return null
    }

    /** Those of a job that may not be taken yet. */
    private fun results(tag: ClientTag, client: Client, n: Int): Sequence<ResultName> {
        val members = client.bulks[n]
        val job = JobName(name, tag, n, members?.count)
        if (members == null) return sequenceOf(ResultName(job, null))
        while (members.firstLeft < members.count &&
            ResultName(job, members.firstLeft).let { it.place in block(it.block) }
        ) {
            members.firstLeft++
        }
        return (members.firstLeft until members.count).asSequence().map { ResultName(job, it) }
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
        client.left().any { n ->
            results(tag, client, n).any {
                stateOf(it) !=
                    ResultState.TAKEN
            }
        }
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
            val at = key.block * CompletedTasks.BLOCK + place
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
    public fun upTo(): Map<ClientTag, Int> = clients.mapValues { (_, client) ->
        maxOf(client.open.length(), client.ended.length()) -
            1
    }

    /** Jobs that have not ended, of those up to [upTo]; null: of all. */
    public fun openJobs(upTo: Map<ClientTag, Int>? = null): Sequence<JobName> =
        clients.asSequence().flatMap { (tag, client) ->
            val most = if (upTo == null) Int.MAX_VALUE else upTo[tag] ?: -1
            client.open.stream().iterator().asSequence().takeWhile {
                it <= most
            }.map { JobName(name, tag, it, client.bulks[it]?.count) }
        }

    /** Results that have ended and are not taken, of jobs up to [upTo]. */
    public fun untaken(upTo: Map<ClientTag, Int>? = null): Sequence<ResultName> =
        clients.asSequence().flatMap { (tag, client) ->
            val most = if (upTo == null) Int.MAX_VALUE else upTo[tag] ?: -1
            client.left()
                .takeWhile {
                    it <= most
                }.flatMap { n -> results(tag, client, n) }.filter { stateOf(it) == ResultState.ENDED }
        }

    /** Open jobs and results that nobody took, a bulk job by its members; what the bound of a session counts. */
    public fun load(): Int = clients.values.sumOf {
        it.open.cardinality() + it.ended.cardinality() +
            it.bulks.values.sumOf { bulk -> bulk.count - 1 }
    } -
        blocks.values.sumOf { it.count }
}
