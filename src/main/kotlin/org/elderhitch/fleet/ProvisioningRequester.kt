package org.elderhitch.fleet

import kotlinx.coroutines.launch
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.recovery.ActionKind
import org.elderhitch.recovery.NeedlessActionKind
import org.elderhitch.scheduler.SchedulerMessage
import org.elderhitch.time.MonotonicInstant
import org.slf4j.LoggerFactory
import kotlin.time.Duration.Companion.seconds

/**
 * Provisions machines: records an intent, sends the request to the cloud, and records the ids of the machines. A
 * request whose outcome is unknown is repeated under the same name, which makes the repetition idempotent.
 */
internal class ProvisioningRequester(
    private val fleet: FleetContext,
    private val cloud: CloudClient,
    private val intents: ProvisioningIntentStore,
    private val machines: MachineTracker,
    private val markets: MarketBackoff,
) {
    private val log = LoggerFactory.getLogger("elderhitch.fleet")

    /** Sequence number of the next intent in this term. */
    private var nextSequence = 0

    fun resetForNewTerm() {
        markets.resetForNewTerm()
        nextSequence = 0
    }

    /** Records an intent to provision machines. The request is sent once the intent is stored. */
    fun add(leadership: LeadershipState.Leader, request: ProvisioningRequest) {
        // Unique, because no two leaders share a term.
        val name = "r-${leadership.term}-${nextSequence++}"
        intents.add(leadership, ProvisioningIntent(name, request.market, request.count))
    }

    /** Handles the outcome of writing an intent or the ids of its machines. */
    fun intentRecorded(message: FleetMessage.IntentRecorded) {
        val leadership = fleet.term.leaderIfCurrent(message.term) ?: return
        val intent = intents[message.name] ?: return
        if (message.version == null) {
            writeFailed(leadership, intent)
            return
        }
        intent.complete()
        when {
            intent.machines != null -> machinesRecorded(leadership, intent)
            intent.market in markets.closed -> intents.delete(leadership, intent)
            else -> sendDue(leadership, fleet.clock.now())
        }
    }

    /** The write may still be executed later. An intent that appears that way is settled by a later term. */
    private fun writeFailed(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        if (intent.machines == null) {
            intents.delete(leadership, intent)
        } else {
            intent.retryAt = fleet.clock.now() + ProvisioningIntentStore.WRITE_RETRY_DELAY
            intents.recordMachines(leadership, intent)
        }
    }

    private fun machinesRecorded(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        machines.addMachines(intent, fleet.clock.now())
        intent.recordedUp.forEach { fleet.ports.tellScheduler(SchedulerMessage.MachineUsable(it)) }
        if (intent.pendingUp.isNotEmpty() && !intent.isRecordingUp) intents.recordUp(leadership, intent)
    }

    /**
     * Sends the due requests, with at most one second's worth of the cloud's request rate in flight: first those whose
     * outcome is unknown, then the others in the order of the plan, which follows the priority of the tasks. The rest
     * waits here, where it can still be dropped when another request for the same market is refused.
     */
    fun sendDue(leadership: LeadershipState.Leader, now: MonotonicInstant) {
        val (inFlight, waiting) = intents.open.partition { it.isRequesting }
        // Machines of requests that an earlier term left open run no tasks yet, whereas the takeover needs the list.
        // So these requests wait for the first list.
        val isListAwaited = fleet.calls.isFirstListPending && now - fleet.term.startedAt < MAX_LIST_WAIT
        val due = waiting
            .filter { it.isIdle && now >= it.retryAt && !(isListAwaited && it.wasRequested) }
            .sortedBy { !it.wasRequested }
        val free = maxOf(0, fleet.calls.maxProvisioningInFlight - inFlight.size)
        for (intent in due.take(free)) send(leadership, intent)
    }

    private fun send(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        if (!leadership.maySendCommands(fleet.clock.now())) return
        intent.startRequest()
        fleet.actions.record(ActionKind.PROVISION, 1, fleet.clock.now())
        fleet.scope.launch {
            val outcome = cloud.provision(intent.name, intent.market, intent.count) {
                fleet.ports.maySendCommands(leadership)
            }
            fleet.tell(FleetMessage.ProvisioningCompleted(leadership.term, intent.name, outcome))
        }
    }

    /** Handles the outcome of a provisioning request. */
    fun requestCompleted(message: FleetMessage.ProvisioningCompleted) {
        val leadership = fleet.term.leaderIfCurrent(message.term) ?: return
        val intent = intents[message.name] ?: return
        intent.complete()
        when (val outcome = message.outcome) {
            is ProvisioningOutcome.Provisioned -> provisioned(leadership, intent, outcome.machines)

            ProvisioningOutcome.NoCapacity -> {
                log.info("provisioning refused name={} market={}", intent.name, intent.market)
                fleet.actions.recordNeedless(NeedlessActionKind.PROVISIONING_REFUSED)
                giveUp(leadership, intent)
            }

            ProvisioningOutcome.Rejected -> {
                log.error("provisioning rejected name={} market={}", intent.name, intent.market)
                giveUp(leadership, intent)
            }

            ProvisioningOutcome.Unknown -> intent.retryAt = fleet.clock.now() + REQUEST_RETRY_DELAY
        }
    }

    private fun provisioned(leadership: LeadershipState.Leader, intent: ProvisioningIntent, granted: List<MachineId>) {
        log.info(
            "provisioned name={} market={} requested={} granted={}",
            intent.name,
            intent.market,
            intent.count,
            granted.size,
        )
        if (granted.size < intent.count) closeMarket(leadership, intent.market) else markets.reset(intent.market)
        fleet.actions.recordProvisioned(intent.market, granted.size, fleet.clock.now())
        intent.machines = granted
        intent.startRecording()
        if (granted.isEmpty()) intents.delete(leadership, intent) else intents.recordMachines(leadership, intent)
    }

    private fun giveUp(leadership: LeadershipState.Leader, intent: ProvisioningIntent) {
        closeMarket(leadership, intent.market)
        intents.delete(leadership, intent)
    }

    /** Closes the market for its backoff time and drops the intents for it whose requests were not sent yet. */
    private fun closeMarket(leadership: LeadershipState.Leader, market: Market) {
        markets.close(market, fleet.clock.now())
        // Intents that are being written are dropped when the write completes.
        intents.open.filter { it.market == market && !it.wasRequested && it.isIdle }
            .forEach { intents.delete(leadership, it) }
    }

    private companion object {
        /** Longer than two pages of the list take at the slowest cloud's request rate. */
        val MAX_LIST_WAIT = 5.seconds
        val REQUEST_RETRY_DELAY = 2.seconds
    }
}
