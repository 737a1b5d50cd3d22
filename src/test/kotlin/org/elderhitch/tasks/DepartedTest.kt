package org.elderhitch.tasks

import org.elderhitch.app.ClassArchiveTraining
import org.elderhitch.jobs.JobCodec
import org.elderhitch.jobs.JobEvent
import org.elderhitch.jobs.JobId
import org.elderhitch.json.Json
import org.elderhitch.settings.WorkerTimeouts
import org.elderhitch.store.Revision
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

/** What jobs took that have ended, for as long as a task of theirs may be found. */
class DepartedTest {
    /**
     * It was a constant of 120 s, beside a time to cancel that deployments choose: with a longer one a task that was
     * found late counted as a whole machine for its team.
     */
    @Test
    fun `what a job takes is remembered for as long as its tasks may be anywhere`() {
        var now = MonotonicInstant(0) + 100.seconds
        val times = WorkerTimeouts(5.seconds, 31.seconds, 30.seconds, 4.seconds, cancel = 240.seconds)
        val table = TaskTable(SteadyClock { now }, times.taskRetention)
        fun open(id: String) = table.open(
            JobEvent.Opened(
                JobCodec.decode(Json.parseObject(Json.bytes(ClassArchiveTraining.exampleJob(id, "array")))),
                Revision(7),
            ),
        )
        table.markTerminal(open("req-1"))
        now += times.cancel + times.lease
        table.markTerminal(open("req-2"))
        assertNotNull(table.recentlyEnded(JobId("req-1")))
        now += times.lease + 1.seconds
        table.markTerminal(open("req-3"))
        assertNull(table.recentlyEnded(JobId("req-1")), "and not for ever")
        assertNotNull(table.recentlyEnded(JobId("req-2")))
    }
}
