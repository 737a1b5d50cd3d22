package org.elderhitch.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.test.runTest
import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.json.Json
import org.elderhitch.store.Change
import org.elderhitch.store.Entry
import org.elderhitch.store.Keys
import org.elderhitch.store.Revision
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * What a node knows of jobs, from its own writes, from other controllers and from the state service, in whatever order
 * they come.
 */
class JobRegistryTest {
    private fun spec(id: String): JobSpec =
        JobCodec.decode(Json.parseObject(Json.bytes(ClassArchiveTraining.exampleJob(id, "array"))))

    private fun entry(key: String, value: Map<String, Any?>, version: Long) =
        Entry(key, Json.parseObject(Json.bytes(value)), Revision(version))

    private fun recorded(id: String, version: Long) =
        Change.Put(entry(Keys.job(JobId(id)), JobCodec.encode(spec(id)), version))

    private val cancelled = TerminalRecord(TerminalState.CANCELLED, 0)

    private fun ended(id: String, version: Long): List<Change> = listOf(
        Change.Put(entry(Keys.terminalRecord(JobId(id)), cancelled.encode(), version)),
        Change.Drop(Keys.job(JobId(id)), Revision(version)),
    )

    private suspend fun JobRegistry.known(id: String): JobLookup {
        val reply = CompletableDeferred<JobLookup>()
        tell(JobMessage.Lookup(JobId(id), reply))
        return reply.await()
    }

    /**
     * The answer to a node's own submission took longer than a reload of the feed, past whose revision the job had come
     * and gone: it was opened for good, told as
     * queued, and started, since nothing would ever say again that it had ended.
     */
    @Test
    fun `the late word of a node's own submission opens no job that a reload has passed`() = runTest {
        val events = ArrayList<JobEvent>()
        val jobRegistry = JobRegistry(backgroundScope, events::add).apply { start() }
        jobRegistry.tell(JobMessage.Snapshot(emptyList(), Revision(100)))
        // Recorded at 101, withdrawn at 102, and more has changed since than the service remembers.
        jobRegistry.tell(JobMessage.Snapshot(emptyList(), Revision(20_000)))
        jobRegistry.tell(JobMessage.Recorded(spec("req-1"), Revision(101)))
        assertIs<JobLookup.Unknown>(jobRegistry.known("req-1"))
        assertEquals(emptyList(), events.toList())
    }

    /**
     * Every order in which words of one job can come, between reloads: once its end has been told it is never open
     * again, and nobody learns that it is gone before.
     */
    @Test
    fun `no order of own words, others' words, changes and reloads opens an ended job again`() = runTest {
        var late = 0
        for (seed in 1L..3000L) {
            val random = Random(seed)
            val events = ArrayList<JobEvent>()
            val jobRegistry = JobRegistry(backgroundScope, events::add).apply { start() }
            val ends = random.nextInt(4) > 0
            val (began, end) = 10L to 10L + random.nextLong(1, 20)
            val last = end + random.nextLong(0, 20)
            // What the feed passes on: changes in order, now and then cut off by a reload of all that is there at a
            // later revision.
            val history = listOf<Change>(recorded("req-1", began)) + if (ends) ended("req-1", end) else emptyList()
            val stateWatch = ArrayList<JobMessage>()
            var told = random.nextLong(0, 9)
            stateWatch.add(JobMessage.Snapshot(emptyList(), Revision(told)))
            while (told < last) {
                val next = random.nextLong(told + 1, last + 1)
                if (random.nextInt(4) == 0) {
                    val there = if (next >= began &&
                        !(ends && next >= end)
                    ) {
                        listOf((history[0] as Change.Put).entry)
                    } else {
                        emptyList()
                    }
                    stateWatch.add(JobMessage.Snapshot(there, Revision(next)))
                } else {
                    stateWatch.add(
                        JobMessage.Changed(
                            history.filter { it.version.number in told + 1..next } +
                                Change.Drop("v/a/other", Revision(next)),
                        ),
                    )
                }
                told = next
            }
            // The node's own words come at any time after the writes, which is no sooner than the feed's revision of
            // that moment.
            val own = ArrayList<Pair<Int, JobMessage>>()
            own.add(random.nextInt(1, stateWatch.size + 1) to JobMessage.Recorded(spec("req-1"), Revision(began)))
            if (ends &&
                random.nextBoolean()
            ) {
                own.add(
                    random.nextInt(1, stateWatch.size + 1) to
                        JobMessage.TerminalStateReceived(JobId("req-1"), cancelled),
                )
            }
            var over = false
            stateWatch.forEachIndexed { n, message ->
                own.filter { it.first == n }.forEach { jobRegistry.tell(it.second) }
                jobRegistry.tell(message)
                val known = jobRegistry.known("req-1")
                if (over) assertTrue(known !is JobLookup.Open, "seed $seed: open again")
                over = over || known is JobLookup.Ended
            }
            own.filter { it.first == stateWatch.size }.forEach {
                late++
                jobRegistry.tell(it.second)
            }
            if (ends) {
                assertTrue(
                    jobRegistry.known("req-1") !is JobLookup.Open,
                    "seed $seed: it has ended",
                )
            } else {
                assertIs<JobLookup.Open>(jobRegistry.known("req-1"), "seed $seed: it is open")
            }
            val kinds = events.filter { it is JobEvent.Opened || it is JobEvent.Ended }.map { it is JobEvent.Opened }
            assertTrue(
                kinds.zipWithNext().none { (a, b) ->
                    a == b
                } &&
                    kinds.count { it } <= 1,
                "seed $seed: opened and ended once at most: $kinds",
            )
        }
        assertTrue(late > 500, "$late own words came last")
    }
}
