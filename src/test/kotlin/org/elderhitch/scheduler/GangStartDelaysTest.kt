package org.elderhitch.scheduler

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.MachineId
import org.elderhitch.fleet.TypeInfo
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.JobKind
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.MachineType
import org.elderhitch.jobs.Priority
import org.elderhitch.jobs.Resources
import org.elderhitch.jobs.TaskId
import org.elderhitch.placement.PlacementDecision
import org.elderhitch.settings.TeamName
import org.elderhitch.settings.Zone
import org.elderhitch.store.Revision
import org.elderhitch.tasks.JobState
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class GangStartDelaysTest {
    private val type =
        TypeInfo(MachineType("g8"), Resources(48.0, 8.0, 288.0), 120.0, 0.5, 15.0, 6.0, 60.seconds, listOf(Zone("a")))
    private val table = TaskTable(SteadyClock { MonotonicInstant(0) }, 120.seconds)

    private fun delays(imageGb: Double, fetchGbPerS: Double = type.fetchGbPerS): Map<TaskId, Duration> {
        val spec = JobSpec(
            JobId("req-1"),
            "class",
            TeamName("team"),
            JobKind.GANG,
            Priority.HIGH,
            tasks = 3,
            Resources(43.0, 8.0, 230.0),
            null,
            null,
            true,
            false,
            false,
            Image("img"),
            imageGb,
            90.seconds,
            Duration.ZERO,
            Duration.ZERO,
            null,
        )
        table.jobs[spec.id] = JobState(spec, Revision(1))
        repeat(3) { n ->
            table.workers[MachineId("m$n")] =
                WorkerState(MachineId("m$n"), type.name, Zone("a"), false, MonotonicInstant(0))
        }
        table.workers.getValue(MachineId("m0")).recordImageUse(spec.image, imageGb)
        val decisions = List(3) { PlacementDecision(TaskId(spec.id, it), MachineId("m$it"), null) }
        return GangStartDelays(
            30.seconds,
            table,
            Catalog(mapOf(type.name to type.copy(fetchGbPerS = fetchGbPerS))),
        ).startDelays(decisions)
    }

    /**
     * Regression: a gang of two was placed six times in 190 s, because one machine had the image and the other took
     * over 30 s to fetch it.
     */
    @Test
    fun `the start of a member that has its image is delayed when the others fetch for longer than it may wait`() {
        val delay = delays(20.0).getValue(TaskId(JobId("req-1"), 0))
        assertTrue(delay + 30.seconds > 60.seconds, "the gang gives up before the slowest fetch is done: $delay")
        assertTrue(delay <= 40.seconds, "the member starts later than the others usually do: $delay")
        assertEquals(1, delays(20.0).size)
    }

    /**
     * Guards against image sizes that users submit without a bound: differences of infinite durations threw, so that
     * nothing that the cycle had placed was started.
     */
    @Test
    fun `no member is delayed when the image is huge`() {
        for (imageGb in listOf(1e10, 1e15)) assertEquals(emptyMap(), delays(imageGb, fetchGbPerS = 1e-4), "$imageGb GB")
    }

    @Test
    fun `no member is delayed when fetches are short`() = assertEquals(emptyMap(), delays(6.0))
}
