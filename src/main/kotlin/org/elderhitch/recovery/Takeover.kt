package org.elderhitch.recovery

import org.elderhitch.fleet.Catalog
import org.elderhitch.fleet.Machine
import org.elderhitch.fleet.MachineId
import org.elderhitch.heartbeat.LeaseTimeouts
import org.elderhitch.jobs.JobSpec
import org.elderhitch.jobs.Resources
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.LeadershipTimeouts
import org.elderhitch.leadership.Term
import org.elderhitch.settings.Zone
import org.elderhitch.time.MonotonicInstant
import org.elderhitch.time.SteadyClock
import org.slf4j.LoggerFactory

/**
 * What is still unclear of earlier terms: machines that may run something and have not said what. While any is left,
 * tasks that no report names may be there, and so may the quota that they use.
 */
internal class Takeover(
    private val times: LeadershipTimeouts,
    private val leases: LeaseTimeouts,
    private val clock: SteadyClock,
) {
    private val log = LoggerFactory.getLogger("elderhitch.workers")
    private var term = Term.NONE
    private var silent: HashSet<MachineId>? = null
    private var end = MonotonicInstant.FOREVER

    /**
     * When this term last answered a report of a machine that did not know it yet. Such an answer renews what an
     * earlier term started, so the leases that end
     * by [end] are those of machines that were not answered: without this a task was started anew whose machine had
     * come back just before.
     */
    private val renewed = HashMap<MachineId, MonotonicInstant>()

    var settled = false
        private set

    /** The run that led before has ended: who reported to it comes by itself. */
    var previousLeaderEnded = false

    /** Machines whose word is missing; empty too while it isn't known which there are. */
    val unaccounted: Set<MachineId> get() = silent.orEmpty()

    fun begin(leadership: LeadershipState.Leader) {
        term = leadership.term
        silent = null
        renewed.clear()
        settled = leadership.previousLeader == null
        previousLeaderEnded = leadership.previousLeader == null
        end = leases.expiredAfterClaim(leadership.claimedAt, times)
    }

    fun expect(machines: Set<MachineId>) {
        silent = HashSet(machines)
    }

    /** It is settled: it has told this term what is on it, or is gone. */
    fun markAccounted(machine: MachineId) {
        silent?.remove(machine)
        renewed.remove(machine)
    }

    /** A report of a machine that didn't know this term is being answered, which came at [at]. */
    fun heartbeatAnswered(machine: MachineId, at: MonotonicInstant) {
        if (!settled) renewed[machine] = at
    }

    /**
     * Machines that still don't know this term get no more answers, or a deaf one would keep the takeover from ever
     * ending. They hear of the term by being asked.
     */
    fun refusesUnawareWorkers(now: MonotonicInstant): Boolean = !settled && now > end

    /** The former leader has surely stopped answering workers: each lease that it kept alive ends from now on. */
    fun previousLeadersStopped() {
        if (!settled) end = minOf(end, leases.expiredAfter(clock.now()))
    }

    /** True when the takeover has just ended. */
    fun trySettle(): Boolean {
        if (settled) return false
        val now = clock.now()
        val overdue = now > end && renewed.values.all { now > leases.expiredAfter(it) }
        if (!overdue && silent?.isEmpty() != true) return false
        log.info("takeover settled term={} by={}", term, if (overdue) "leases over" else "reports")
        settled = true
        return true
    }

    /**
     * Whether an unreported task of the job may be on a machine whose word is missing. No term ever places a task where
     * its
     * job doesn't allow it, or where it doesn't fit: services don't wait for the word of a spot machine, nor large
     * tasks for that of a small one.
     */
    fun mayRunUnreported(job: JobSpec, known: Map<MachineId, Machine>, catalog: Catalog): Boolean {
        if (settled) return false
        val unheard = silent ?: return true
        return unheard.any { id ->
            known[id]?.let {
                job.permitsMachine(it.type, it.zone, it.spot) &&
                    catalog.resources(it.type)?.let(job.resources::fitsIn) != false
            }
                ?: true
        }
    }

    /** How many machines of a zone may still run what nobody has reported; null: it isn't known which there are. */
    fun unaccountedIn(zone: Zone, known: Map<MachineId, Machine>): Int? {
        if (settled) return 0
        // Of a machine that nothing is known of, not even its zone is.
        return silent?.count { id -> known[id].let { it == null || it.zone == zone } }
    }

    /** It ends within one lease's time, whatever happens. */
    fun endsSoon(now: MonotonicInstant): Boolean = leases.expireSoon(end, now)

    /** What the silent machines could be running, whoever it belongs to. */
    fun reservedResources(known: Map<MachineId, Machine>, catalog: Catalog): Resources {
        if (settled) return Resources.NONE
        var sum = Resources.NONE
        for (id in silent ?: return EVERYTHING) sum += known[id]?.let { catalog.resources(it.type) } ?: EVERYTHING
        return sum
    }

    private companion object {
        const val LOTS = 1e12
        val EVERYTHING = Resources(LOTS, LOTS, LOTS)
    }
}
