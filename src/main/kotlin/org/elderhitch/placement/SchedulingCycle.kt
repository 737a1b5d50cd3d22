package org.elderhitch.placement

import org.elderhitch.jobs.JobKind

/**
 * One scheduling cycle: a pure function from a [CycleInput] to a [CycleOutput], apart from the input's quota ledger,
 * which gets what is placed.
 *
 * Jobs are placed one after the other in the order of [CycleInput.jobOrder]: by priority, then those within their
 * team's guarantee, then the first tasks of starved jobs, then by due time, then by age. Each task goes to the machine
 * with the lowest [MachineScorer.penaltySeconds], of equals to the fullest one that it fits on; for services
 * [MachineScorer.serviceAffinity] comes before that.
 *
 * Free resources only shrink within a scheduling cycle, so that most of the fleet is looked at only once: see
 * [CandidateIndex]. A job goes through its candidates once, and machines that did not fit aren't tried again.
 */
public class SchedulingCycle(private val input: CycleInput) {
    private val scarcity = ScarceCapacity(input)
    private val decisions = CycleDecisions(input.quota, scarcity)
    private val scorer = MachineScorer(input, scarcity)
    private val index = CandidateIndex(input, scarcity, scorer)
    private val preemption = Preemption(input, index, scorer, decisions)
    private val taskPlacer = TaskPlacer(input, index, scorer, preemption, decisions)
    private val gangPlacer = GangPlacer(input, index, preemption, decisions)

    /** Runs the cycle; to be called once. */
    public fun decide(): CycleOutput {
        val reservations = ArrayDeque(input.reservations.sortedByDescending { it.spec.priority })
        for (job in input.jobs.sortedWith(input.jobOrder())) {
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

    /** Withholds capacity from the jobs that are placed after this. */
    private fun reserve(reservation: CapacityReservation) {
        val request = reservation.spec.resources
        val candidates = index.candidates(reservation.spec)
        var position = 0
        repeat(reservation.tasks) {
            while (position < candidates.size && !request.fitsIn(candidates[position].free)) position++
            if (position == candidates.size) return
            candidates[position].free -= request
        }
    }
}
