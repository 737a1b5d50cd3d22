package org.elderhitch.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.test.TestScope
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
 * What a node knows about jobs from its own writes, from other controllers and from the state service, in whatever
 * order they report it.
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
     * The response to a node's own submission took longer than a reload of the watch, past whose revision the job had
     * been recorded and had ended: the job was opened for good, reported as queued, and started, since nothing would
     * ever report again that it had ended.
     */
    @Test
    fun `the registry ignores an own submission when a reload has passed its revision`() = runTest {
        val events = ArrayList<JobEvent>()
        val jobRegistry = JobRegistry(backgroundScope, events::add).apply { start() }
        jobRegistry.tell(JobMessage.Snapshot(emptyList(), Revision(100)))
        // Recorded at 101, cancelled at 102, and more has changed since than the service remembers.
        jobRegistry.tell(JobMessage.Snapshot(emptyList(), Revision(20_000)))
        jobRegistry.tell(JobMessage.Recorded(spec("req-1"), Revision(101)))
        assertIs<JobLookup.Unknown>(jobRegistry.known("req-1"))
        assertEquals(emptyList(), events.toList())
    }

    /** A message that doesn't come from the watch, and how many messages of the watch precede it. */
    private class OwnMessage(val position: Int, val message: JobMessage)

    /** A random history of the job req-1, and the messages that report it, in a random order. */
    private inner class RandomHistory(seed: Long) {
        private val random = Random(seed)
        val ends = random.nextInt(4) > 0
        private val recordedAt = 10L
        private val endedAt = recordedAt + random.nextLong(1, 20)
        private val lastRevision = endedAt + random.nextLong(0, 20)
        private val changes =
            listOf<Change>(recorded("req-1", recordedAt)) + if (ends) ended("req-1", endedAt) else emptyList()
        val watched: List<JobMessage> = watchMessages()
        val own: List<OwnMessage> = ownMessages()

        /** Changes in order, now and then cut off by a reload of everything that is there at a later revision. */
        private fun watchMessages(): List<JobMessage> {
            val messages = ArrayList<JobMessage>()
            var reported = random.nextLong(0, 9)
            messages.add(JobMessage.Snapshot(emptyList(), Revision(reported)))
            while (reported < lastRevision) {
                val next = random.nextLong(reported + 1, lastRevision + 1)
                messages.add(if (random.nextInt(4) == 0) snapshotAt(next) else changesBetween(reported, next))
                reported = next
            }
            return messages
        }

        private fun snapshotAt(revision: Long): JobMessage {
            val isOpen = revision >= recordedAt && !(ends && revision >= endedAt)
            val entries = if (isOpen) listOf((changes[0] as Change.Put).entry) else emptyList()
            return JobMessage.Snapshot(entries, Revision(revision))
        }

        private fun changesBetween(after: Long, upTo: Long): JobMessage = JobMessage.Changed(
            changes.filter { it.version.number in after + 1..upTo } + Change.Drop("v/a/other", Revision(upTo)),
        )

        /** They come at any time after the writes, which is no sooner than the watch's revision of that moment. */
        private fun ownMessages(): List<OwnMessage> {
            val messages = ArrayList<OwnMessage>()
            val submission = JobMessage.Recorded(spec("req-1"), Revision(recordedAt))
            messages.add(OwnMessage(anyPosition(), submission))
            if (ends && random.nextBoolean()) {
                messages.add(OwnMessage(anyPosition(), JobMessage.TerminalStateReceived(JobId("req-1"), cancelled)))
            }
            return messages
        }

        private fun anyPosition() = random.nextInt(1, watched.size + 1)
    }

    /** Reports the history to a new registry, and returns how many own messages came last. */
    private suspend fun TestScope.replay(seed: Long): Int {
        val history = RandomHistory(seed)
        val events = ArrayList<JobEvent>()
        val jobRegistry = JobRegistry(backgroundScope, events::add).apply { start() }
        var over = false
        history.watched.forEachIndexed { position, message ->
            history.own.filter { it.position == position }.forEach { jobRegistry.tell(it.message) }
            jobRegistry.tell(message)
            val known = jobRegistry.known("req-1")
            if (over) assertTrue(known !is JobLookup.Open, "seed $seed: open again")
            over = over || known is JobLookup.Ended
        }
        val last = history.own.filter { it.position == history.watched.size }
        last.forEach { jobRegistry.tell(it.message) }
        if (history.ends) {
            assertTrue(jobRegistry.known("req-1") !is JobLookup.Open, "seed $seed: it has ended")
        } else {
            assertIs<JobLookup.Open>(jobRegistry.known("req-1"), "seed $seed: it is open")
        }
        val kinds = events.filter { it is JobEvent.Opened || it is JobEvent.Ended }.map { it is JobEvent.Opened }
        assertTrue(
            kinds.zipWithNext().none { (a, b) -> a == b } && kinds.count { it } <= 1,
            "seed $seed: opened and ended once at most: $kinds",
        )
        return last.size
    }

    /**
     * Every order in which messages about one job can come, between reloads: once its end was reported it is never open
     * again, and nobody learns that it is gone before.
     */
    @Test
    fun `the registry never opens an ended job again when own messages, others' messages, changes and reloads mix`() =
        runTest {
            val late = (1L..3000L).sumOf { replay(it) }
            assertTrue(late > 500, "$late own messages came last")
        }
}
