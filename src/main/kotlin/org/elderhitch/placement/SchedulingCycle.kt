package org.elderhitch.placement

import org.elderhitch.jobs.JobKind

/**
 * One scheduling cycle: a pure function from a [CycleInput] to a [CycleOutput], except that placed tasks are added to
 * the input's quota ledger.
 *
 * Jobs are placed one after the other in the order of [CycleInput.placementOrder]: by priority, then jobs within their
 * team's guarantee, then the first tasks of starved jobs, then services with large images while most of the fleet is
 * booting, then by due time, then by age. Each task goes to the machine with the lowest
 * [MachineScorer.penaltySeconds]. Ties go to the machine with the highest [MachineScorer.serviceAffinity], then to the
 * one with the least free capacity.
 *
 * Free resources only shrink within a scheduling cycle, so most of the fleet is examined only once: see
 * [CandidateIndex]. A job goes through its candidates once, and machines that did not fit are not retried.
 */
public class SchedulingCycle(private val input: CycleInput) {
    private val scarcity = ScarceCapacity(input)
    private val decisions = CycleDecisions(input.quota, scarcity)
    private val scorer = MachineScorer(input, scarcity)
    private val index = CandidateIndex(input, scarcity, scorer)
    private val preemption = Preemption(input, index, scorer, decisions)
    private val taskPlacer = TaskPlacer(input, index, scorer, preemption, decisions)
    private val gangPlacer = GangPlacer(input, index, preemption, decisions)

    /** Runs the cycle. Must be called only once. */
    public fun decide(): CycleOutput {
        val reservations = ArrayDeque(input.reservations.sortedByDescending { it.spec.priority })
        for (job in input.jobs.sortedWith(input.placementOrder())) {
            while (reservations.isNotEmpty() && reservations.first().spec.priority > job.spec.priority) {
                reserve(reservations.removeFirst())
            }
            if (job.spec.kind == JobKind.GANG) gangPlacer.place(job) else taskPlacer.place(job)
        }
        return CycleOutput(
            decisions.placed,
            decisions.preempted,
            decisions.unplaced,
            index.machineVisits,
            scarcity.scarceTypes,
            scarcity.reservedMachineCount,
        )
    }

    /** Deducts the reserved capacity from machines, so that jobs that are placed later cannot use it. */
    private fun reserve(reservation: CapacityReservation) {
        val request = reservation.spec.resources
        var missing = reservation.tasks
        for (candidate in index.candidates(reservation.spec)) {
            if (missing == 0) return
            index.countVisit()
            val tasks = request.copiesIn(candidate.free, missing)
            candidate.free -= request * tasks
            missing -= tasks
        }
    }
}
