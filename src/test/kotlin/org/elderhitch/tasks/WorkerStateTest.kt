package org.elderhitch.tasks

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.jobs.MachineType
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class WorkerStateTest {
    private val worker = WorkerState(MachineId("m"), MachineType("g8"), Zone("a"), false, MonotonicInstant(0))

    /** Guards against lists that grow with each job: images of size 0 never fill the cache. */
    @Test
    fun `the number of remembered images is bounded when they have no size`() {
        repeat(10_000) { worker.recordImageUse(Image("image-$it"), 0.0) }
        val cached = worker.cachedImages(50.0)
        assertTrue(worker.usedImages().size <= 1_000, "${worker.usedImages().size} images")
        assertTrue(Image("image-9999") in cached, "the latest image is gone")
    }

    @Test
    fun `the least recently used image is forgotten first`() {
        repeat(256) { worker.recordImageUse(Image("image-$it"), 0.1) }
        worker.recordImageUse(Image("image-0"), 0.1)
        worker.recordImageUse(Image("image-256"), 0.1)
        assertEquals(256, worker.usedImages().size)
        assertTrue(Image("image-0") in worker.usedImages())
        assertTrue(Image("image-1") !in worker.usedImages())
    }
}
