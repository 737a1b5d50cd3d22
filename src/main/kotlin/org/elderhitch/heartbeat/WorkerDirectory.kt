package org.elderhitch.heartbeat

import org.elderhitch.fleet.MachineId
import org.elderhitch.jobs.Image
import org.elderhitch.tasks.TaskTable
import org.elderhitch.tasks.WorkerState
import org.elderhitch.time.MonotonicInstant

/**
 * Looks up the state of the worker that sent a message, and creates it on the worker's first message in this term.
 *
 * @param imageHints returns the images on a machine and their sizes in GB, as recorded by an earlier term, or null if
 *   there is no record.
 */
internal class WorkerDirectory(
    private val table: TaskTable,
    private val imageHints: (MachineId) -> Map<Image, Double>?,
) {
    fun getOrCreate(heartbeat: Heartbeat, now: MonotonicInstant): WorkerState =
        table.workers.getOrPut(heartbeat.machine) { create(heartbeat, now) }

    private fun create(heartbeat: Heartbeat, now: MonotonicInstant): WorkerState {
        val worker = WorkerState(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, now)
        imageHints(heartbeat.machine)?.forEach { (image, sizeGb) -> worker.recordImageUse(image, sizeGb) }
        return worker
    }
}
