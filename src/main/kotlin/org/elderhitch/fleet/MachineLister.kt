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

/** Requests the cloud's machine list periodically and reconciles it with the machines of this term. */
internal class MachineLister(
    private val fleet: FleetContext,
    private val cloud: CloudClient,
    private val machines: MachineTracker,
    private val terminations: TerminationQueue,
    private val adoption: OrphanAdoption,
    lag: Duration,
) {
    private val reconciler = InventoryReconciler(lag)

    fun resetForNewTerm() = reconciler.resetForNewTerm()

    fun requestIfDue(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        if (fleet.calls.tryStartListing(now, LIST_INTERVAL)) request(leadership)
    }

    private fun request(leadership: LeadershipState.Leader) {
        val requestedAt = fleet.clock.now()
        // The first list of a term shows the addresses of machines that have not reported yet, and which are gone.
        val priority = if (fleet.calls.isFirstListPending) RequestPriority.LEADERSHIP else RequestPriority.OTHER
        fleet.scope.launch {
            val listed = cloud.list(priority)
            if (listed == null) delay(FAILURE_RETRY_DELAY)
            fleet.tell(FleetMessage.MachinesListed(leadership.term, listed, requestedAt))
        }
    }

    /** Handles the outcome of a list request. */
    fun listReceived(message: FleetMessage.MachinesListed, isTakeoverSettled: Boolean) {
        val leadership = fleet.term.leaderIfCurrent(message.term) ?: return
        fleet.calls.listingCompleted(message.machines?.size, fleet.clock.now())
        val listed = message.machines ?: return
        if (!isTakeoverSettled) {
            // During a takeover, machines that have not reported yet are probed. Only the cloud knows their addresses.
            fleet.ports.tellScheduler(SchedulerMessage.MachinesListed(listed.associate { it.machine.id to it.address }))
        }
        val differences = reconciler.reconcile(listed, message.requestedAt, machines.machines)
        differences.failed.forEach { machines.machines[it]?.isFailed = true }
        if (differences.failed.isNotEmpty()) terminations.request(differences.failed, TerminationReason.FAILED)
        if (fleet.term.areIntentsLoaded && leadership.maySendCommands(fleet.clock.now())) {
            adoption.adoptListed(leadership, differences.orphaned)
        }
        differences.gone.forEach { machines.removeGone(it, "unlisted") }
    }

    private companion object {
        val LIST_INTERVAL = 1500.milliseconds

        /** Delay before a failed request counts as completed, so that the list is not requested again at once. */
        val FAILURE_RETRY_DELAY = 1.seconds
    }
}
