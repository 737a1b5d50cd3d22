package org.elderhitch.drmaa

import org.elderhitch.jobs.CompletedTasks
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalState
import org.elderhitch.json.JsonObject
import org.elderhitch.store.Revision
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

class SessionStateTest {
    private val session = SessionName("abcdefghijkl")
    private val tags = listOf(ClientTag("aaaaaaaa"), ClientTag("bbbbbbbb"))

    private fun name(random: Random, numbers: Int) = tags[random.nextInt(2)].let { tag ->
        val number = random.nextInt(numbers)
        // A number always gets the same kind of job.
        JobName(session, tag, number, if (number % 3 == 0) 1 + number % 7 else null)
    }

    private fun results(job: JobName) = if (job.members == null) {
        listOf(ResultName(job, null))
    } else {
        (0 until job.members).map { ResultName(job, it) }
    }

    /** Compares the state with plain sets after the same events in random order, some of them repeated. */
    @Test
    fun `session state doesn't depend on the order of events`() {
        for (seed in 1..60) {
            val random = Random(seed)
            val state = SessionState(session)
            val opened = HashSet<JobName>()
            val ended = HashMap<JobName, TerminalState>()
            val done = HashSet<ResultName>()
            val taken = HashSet<ResultName>()
            val blocks = HashMap<ReapKey, ReapBlock>()
            var version = 0L
            val numbers = 3 + random.nextInt(40)
            repeat(150) {
                val job = name(random, numbers)
                when (random.nextInt(5)) {
                    0, 1 -> {
                        state.markOpened(job)
                        opened.add(job)
                    }

                    2 -> if (job in opened && job !in ended) {
                        val how = TerminalState.entries[random.nextInt(2)]
                        ended[job] = how
                        state.markEnded(job, how)
                    }

                    3 -> if (job in opened && job !in ended && job.members != null) {
                        val finished = CompletedTasks(job.members)
                        done.filter { it.job == job }.forEach { finished.add(it.member ?: 0) }
                        val member = random.nextInt(job.members)
                        finished.add(member)
                        done.add(ResultName(job, member))
                        state.addCompleted(job, 0, finished.pack(0))
                    }

                    else -> state.nextEnded()?.let { result ->
                        assertTrue(result.job in ended || result in done, "seed $seed: $result has not ended")
                        assertTrue(taken.add(result), "seed $seed: $result is given twice")
                        val block = (blocks[result.block] ?: ReapBlock.EMPTY).plus(
                            listOf(result.place),
                            RequestId(tags[0], it),
                        ).at(Revision(++version))
                        val before = blocks.put(result.block, block)
                        state.updateBlock(result.block, block)
                        // An older version that arrives late changes nothing.
                        before?.let { old -> state.updateBlock(result.block, old) }
                    }
                }
                if (random.nextBoolean()) state.markOpened(job).also { opened.add(job) }
            }
            for (job in opened) {
                for (result in results(job)) {
                    val expected = when {
                        result in taken -> ResultState.TAKEN
                        job in ended || result in done -> ResultState.ENDED
                        else -> ResultState.OPEN
                    }
                    assertEquals(expected, state.stateOf(result), "seed $seed: $result")
                    assertEquals(
                        ended[job] == TerminalState.DONE || result in done,
                        state.isCompleted(result) || ended[job] == TerminalState.DONE && job.members == null,
                        "seed $seed: $result",
                    )
                }
            }
            assertEquals(opened.filter { it !in ended }.toSet(), state.openJobs().toSet(), "seed $seed")
            assertEquals(
                opened.flatMap(::results).filter {
                    (it.job in ended || it in done) && it !in taken
                }.toSet(),
                state.endedResults().toSet(),
                "seed $seed",
            )
            assertEquals(opened.flatMap(::results).count() - taken.size, state.outstandingCount(), "seed $seed")
            assertEquals(opened.flatMap(::results).any { it !in taken }, state.hasResultsLeft(), "seed $seed")
        }
    }

    @Test
    fun `a claimed result is not offered, and an earlier number that ends later is`() {
        val state = SessionState(session)
        val later = JobName(session, tags[0], 5, null)
        state.markEnded(later, TerminalState.DONE)
        val result = assertNotNull(state.nextEnded())
        assertTrue(state.claim(result))
        assertNull(state.nextEnded())
        state.updateBlock(result.block, ReapBlock.EMPTY.plus(listOf(result.place), null).at(Revision(1)))
        state.unclaim(result)
        assertNull(state.nextEnded())
        val earlier = JobName(session, tags[0], 2, null)
        state.markEnded(earlier, TerminalState.CANCELLED)
        assertEquals(ResultName(earlier, null), state.nextEnded())
        assertEquals(ResultState.UNKNOWN, state.stateOf(ResultName(JobName(session, tags[0], 2, 4), 1)))
    }

    @Test
    fun `fifty thousand ended jobs are found`() {
        val state = SessionState(session)
        repeat(50_000) { state.markEnded(JobName(session, tags[0], it, null), TerminalState.DONE) }
        assertEquals(50_000, state.endedResults().count())
        assertEquals(JobName(session, tags[0], 0, null), state.nextEnded()?.job)
    }

    @Test
    fun `names round-trip through text, and malformed ones are rejected`() {
        val random = Random(5)
        repeat(500) {
            val job =
                JobName(
                    session,
                    tags[random.nextInt(2)],
                    random.nextInt(JobName.MAX_NUMBER),
                    if (random.nextBoolean()) {
                        1 +
                            random.nextInt(100_000)
                    } else {
                        null
                    },
                )
            assertEquals(job, JobName.parse(assertNotNull(JobId.parse(job.toString()))))
            val result = ResultName(job, job.members?.let { random.nextInt(it) })
            assertEquals(result, ResultName.parse(result.toString()))
            assertEquals(result.block, ReapKey.parse(result.block.toString()))
            val broken = result.toString().toCharArray().also {
                it[random.nextInt(it.size)] =
                    "/-x. Z"[random.nextInt(6)]
            }.concatToString()
            ResultName.parse(broken)?.let { assertEquals(broken, it.toString()) }
            ReapKey.parse(broken)
        }
        for (text in listOf(
            "req-1",
            "req-dabcdefghijkl-aaaaaaaa-1",
            "req-dabcdefghijkl-aaaaaaaa-00000001x0",
            "req-dabcdefghijkl-aaaaaaaa-00000001x100001",
        )) {
            assertNull(JobName.parse(JobId(text)), text)
        }
        assertNull(ResultName.parse("req-dabcdefghijkl-aaaaaaaa-00000001x5/5"))
        assertNull(ResultName.parse("req-dabcdefghijkl-aaaaaaaa-00000001x5"))
        assertNull(ResultName.parse("req-dabcdefghijkl-aaaaaaaa-00000001/0"))
    }

    @Test
    fun `a block records the latest requests that took results, and fits into a value`() {
        val random = Random(7)
        var block = ReapBlock.EMPTY
        val by = LinkedHashMap<RequestId, Int>()
        for (place in (0 until CompletedTasks.BLOCK_SIZE).shuffled(random).take(600)) {
            val request = RequestId(tags[random.nextInt(2)], by.size)
            by[request] = place
            block = block.plus(listOf(place), request)
        }
        val read = assertNotNull(ReapBlock.decode(JsonObject.of(block.encode()), Revision(3)))
        assertTrue(org.elderhitch.json.Json.bytes(block.encode()).size < 4096)
        assertEquals(600, read.count)
        for ((request, place) in by.entries.drop(600 - ReapBlock.MAX_REQUESTS)) {
            assertEquals(place, read.takenBy(request))
            assertTrue(read.wentTo(place, request) && !read.wentTo(place, RequestId(request.tag, 9999)))
        }
        assertNull(read.takenBy(by.keys.first()))
        val many = block.plus(listOf(1, 2, 3), RequestId(tags[0], 7777))
        assertTrue(many.wentTo(2, RequestId(tags[0], 7777)))
        assertNull(many.takenBy(RequestId(tags[0], 7777)))
        for (bad in listOf(
            mapOf("f" to 5L),
            mapOf("f" to "9999"),
            mapOf("f" to "0", "by" to listOf("x")),
            mapOf("f" to "0", "by" to listOf("aaaaaaaa-1:9999")),
        )) {
            assertNull(ReapBlock.decode(JsonObject.of(bad), Revision(1)), "$bad")
        }
    }
}
