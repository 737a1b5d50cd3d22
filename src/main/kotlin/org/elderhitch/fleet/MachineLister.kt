package org.elderhitch.fleet

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.store.RequestPriority
import org.elderhitch.time.MonotonicInstant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests the cloud's list of machines from time to time and reconciles it with the machines of this term. */
internal class MachineLister(
    private val fleet: FleetContext,
    private val cloud: CloudClient,
    private val machines: MachineTracker,
    private val terminations: TerminationQueue,
    private val adoption: OrphanAdoption,
    lag: Duration,
) {
    private val reconciler = InventoryReconciler(lag)

    fun newTerm() = reconciler.newTerm()

    fun requestIfDue(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        if (fleet.calls.startListing(now, LIST_INTERVAL)) request(leadership)
    }

    private fun request(leadership: LeadershipState.Leader) {
        val requestedAt = fleet.clock.now()
        // The first list of a term shows where the machines are that were not seen yet, and which are long gone.
        val priority = if (fleet.calls.neverListed) RequestPriority.LEADERSHIP else RequestPriority.OTHER
        fleet.scope.launch {
            val listed = cloud.list(priority)
            if (listed == null) delay(FAILURE_PAUSE)
            fleet.tell(FleetMessage.MachinesListed(leadership.term, listed, requestedAt))
        }
    }

    /** A list arrived, or was unavailable. [settled]: the takeover of this term is over. */
    fun received(message: FleetMessage.MachinesListed, settled: Boolean) {
        val leadership = fleet.term.leaderOf(message.term) ?: return
        fleet.calls.listingCompleted(message.machines?.size, fleet.clock.now())
        val listed = message.machines ?: return
        if (!settled) {
            // During a takeover machines that were not seen yet are probed, at the addresses that only the cloud knows.
            fleet.ports.scheduler(SchedulerMessage.MachinesListed(listed.associate { it.machine.id to it.address }))
        }
        val differences = reconciler.reconcile(listed, message.requestedAt, machines.machines)
        differences.failed.forEach { machines.machines[it]?.failed = true }
        if (differences.failed.isNotEmpty()) terminations.request(differences.failed, TerminationReason.FAILED)
        if (fleet.term.intentsLoaded && leadership.maySendCommands(fleet.clock.now())) {
            adoption.adoptListed(leadership, differences.orphaned)
        }
        differences.gone.forEach { machines.gone(it, "unlisted") }
    }

    private companion object {
        val LIST_INTERVAL = 1500.milliseconds

        /** How long an unavailable list stays under way, so that it is not requested again at once. */
        val FAILURE_PAUSE = 1.seconds
    }
}
